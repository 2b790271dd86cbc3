// Requests to the operators' API of one of several hosts.
#ifndef DOTTERELLEADCTL_CLIENT_H_
#define DOTTERELLEADCTL_CLIENT_H_

#include <string>

#include "options.h"

namespace dotterellead {

// An answer of the API, or what stands for one.
struct api_result {
  exit_code code = exit_code::kOk;
  // JSON of the API, or a text if there is none.
  std::string body;
};

class api_client {
 public:
  explicit api_client(const options& o) : options_(o) {}

  // Asks the hosts in turn until one answers other than that it is
  // unavailable.
  api_result Read(const std::string& target) const;
  // Asks a further host only if no connection to the one before could be made,
  // since a write that was sent may have taken effect.
  api_result Write(const std::string& method,
                   const std::string& target,
                   const std::string& body) const;

 private:
  send_result Send(const socket_address& host, const http_request& r) const;
  http_request Request(const std::string& method,
                       const std::string& target,
                       const std::string& body) const;

  const options& options_;
};

// A name as part of a path or a query value.
std::string PercentEncode(const std::string& text);

}  // namespace dotterellead

#endif  // DOTTERELLEADCTL_CLIENT_H_
