// Encoding of calls between entry hosts as JSON-RPC 2.0.
#ifndef DOTTERELLEAD_PEER_RPC_H_
#define DOTTERELLEAD_PEER_RPC_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dotterellead/peer.h"

namespace dotterellead {

inline constexpr std::string_view kRpcPath = "/rpc";

// Encodes a call with `params` as JSON text; an empty text means no parameters.
std::string EncodeCall(std::uint64_t id,
                       const std::string& method,
                       const std::string& params);

// Decodes the result of call `id` as JSON text; nullopt if `body` is an error,
// not a JSON-RPC response, or the response to another call.
std::optional<std::string> DecodeResult(std::uint64_t id,
                                        const std::string& body);

// Runs the methods of JSON-RPC requests. Thread-safe.
class rpc_dispatcher {
 public:
  explicit rpc_dispatcher(peer_methods methods);
  ~rpc_dispatcher();
  rpc_dispatcher(const rpc_dispatcher&) = delete;
  rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

  // Returns the body of the response.
  std::string Handle(const std::string& body);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// The value of the Authorization header with `secret`.
std::string BearerValue(const std::string& secret);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PEER_RPC_H_
