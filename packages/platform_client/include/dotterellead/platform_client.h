// Clients of the platform's append-only log and host list, for the standalone
// mode. The adapter to the users' platform is in platform/.
#ifndef DOTTERELLEAD_PLATFORM_CLIENT_H_
#define DOTTERELLEAD_PLATFORM_CLIENT_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "dotterellead/core.h"
#include "dotterellead/http.h"

namespace dotterellead {

// A stream of the log, such as "config" or "claims-0".
using stream_id = text_id<struct stream_tag>;

// One record of a stream.
struct log_record {
  log_offset offset;
  std::string data;
  bool operator==(const log_record&) const = default;
};

// Consecutive records read from a stream.
struct log_batch {
  stream_id stream;
  std::vector<log_record> records;
  // The oldest offset in the log, and the offset of its next record.
  log_offset first;
  log_offset next;
  // How long the log keeps a record.
  milliseconds retention{0};
};

// A stream could not be read.
struct log_unavailable {
  stream_id stream;
};

// The requested offset is not in the stream: records from `requested` to before
// `first` were dropped, or the stream is shorter than `requested` because it
// was reset.
struct log_truncated {
  stream_id stream;
  log_offset requested;
  // The oldest offset that the log still holds.
  log_offset first;
};

// Result of reading a stream.
using log_event = std::variant<log_batch, log_unavailable, log_truncated>;

// Requests an atomic append of records. `token` is returned in the result.
struct append_request {
  stream_id stream;
  std::uint64_t token = 0;
  std::vector<std::string> records;
};

enum class append_status {
  kAppended,
  // The log stated that it appended nothing.
  kRejected,
  // No response: the records may be in the log.
  kUnknown,
};

// Outcome of an append.
struct append_result {
  stream_id stream;
  std::uint64_t token = 0;
  append_status status = append_status::kUnknown;
  // Offset of the first record, if appended; the others follow it.
  log_offset first;
};

// The log service. Calls block for at most `timeout` and do not throw if the
// log is unreachable.
class log_client {
 public:
  virtual ~log_client() = default;
  virtual append_result Append(const append_request& request,
                               milliseconds timeout) = 0;
  // Reads up to `max` records from offset `from`, waiting at most `wait` for
  // the first one.
  virtual std::variant<log_batch, log_unavailable> Read(const stream_id& stream,
                                                        log_offset from,
                                                        std::size_t max,
                                                        milliseconds wait) = 0;
};

// ---- Host list

enum class host_kind { kBackend, kEntry };
enum class host_state { kLive, kLeaving };

// An entry of the platform's host list.
struct listed_host {
  // "IP:port".
  std::string address;
  data_centre_id data_centre;
  host_kind kind = host_kind::kBackend;
  host_state state = host_state::kLive;
  pool_id pool;
  version_id version;
  bool operator==(const listed_host&) const = default;
};

// The platform's list of hosts. It lags behind, so it is only a hint.
class host_list_client {
 public:
  virtual ~host_list_client() = default;
  // Returns nullopt if the list cannot be read.
  virtual std::optional<std::vector<listed_host>> List(
      milliseconds timeout) = 0;
};

// ---- Clients over HTTP

// Pool of kept connections to one remote address. Thread-safe.
class http_connection_pool {
 public:
  explicit http_connection_pool(const socket_address& remote);
  // Sends a request on an exclusive connection.
  send_result Send(const http_request& request, milliseconds timeout);

 private:
  std::unique_ptr<http_connection> Acquire();
  void Release(std::unique_ptr<http_connection> connection);

  socket_address remote_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<http_connection>> idle_;
};

// The log service over HTTP and JSON. Thread-safe.
class http_log_client : public log_client {
 public:
  explicit http_log_client(const socket_address& remote);
  append_result Append(const append_request& request,
                       milliseconds timeout) override;
  std::variant<log_batch, log_unavailable> Read(const stream_id& stream,
                                                log_offset from,
                                                std::size_t max,
                                                milliseconds wait) override;

 private:
  http_connection_pool connections_;
};

// The host list over HTTP and JSON. Thread-safe.
class http_host_list_client : public host_list_client {
 public:
  explicit http_host_list_client(const socket_address& remote);
  std::optional<std::vector<listed_host>> List(milliseconds timeout) override;

 private:
  http_connection_pool connections_;
};

// JSON encoding of the platform's protocol. Decoding throws protocol_error if
// the text is malformed.
std::string EncodeAppendBody(const append_request& request);
// Returns the offset of the first record; `expected` is the number of records
// sent.
log_offset DecodeAppendReply(std::string_view text, std::size_t expected);
log_batch DecodeReadReply(std::string_view text, const stream_id& stream);
std::vector<listed_host> DecodeHostList(std::string_view text);

// ---- Duties

// Reads one stream on its own thread from the offset that its owner sets, and
// passes on the results. After log_truncated it waits for a new offset. While
// the log is unavailable it retries after 20 ms, then up to 500 ms.
class log_tail {
 public:
  // The sink runs on the tail's thread and must not block for long.
  using sink = std::function<void(log_event&&)>;

  log_tail(log_client& log,
           stream_id stream,
           sink on_event,
           milliseconds wait = milliseconds(500),
           std::size_t max_records = 1'000);
  ~log_tail();
  log_tail(const log_tail&) = delete;
  log_tail& operator=(const log_tail&) = delete;

  void Start();
  // Returns once the read in progress has ended.
  void Stop();
  // Takes effect after the read in progress, whose result is discarded.
  void SetOffset(log_offset offset);

 private:
  void Run();
  std::optional<log_offset> WaitForOffset(std::uint64_t& generation);
  bool Handle(std::variant<log_batch, log_unavailable> result,
              log_offset requested,
              std::uint64_t generation);
  void Sleep(milliseconds time, std::uint64_t generation);

  log_client& log_;
  stream_id stream_;
  sink on_event_;
  milliseconds wait_;
  std::size_t max_records_;
  std::mutex mutex_;
  std::condition_variable changed_;
  // Invalid until the owner sets an offset.
  log_offset offset_;
  // Number of changes of the offset by the owner.
  std::uint64_t generation_ = 0;
  bool is_stopping_ = false;
  std::thread thread_;
};

// Appends to the log on its own thread, one request at a time and in order.
class log_appender {
 public:
  using sink = std::function<void(append_result&&)>;

  // `result` runs on the appender's thread, or on the thread that submits if
  // the ring is full.
  log_appender(std::string name,
               log_client& log,
               sink on_result,
               milliseconds timeout = milliseconds(500),
               std::size_t ring_capacity = 64);
  ~log_appender();
  log_appender(const log_appender&) = delete;
  log_appender& operator=(const log_appender&) = delete;

  void Start();
  // Appends the queued requests, then ends the thread.
  void Stop();
  // If the ring is full the request is rejected at once.
  void Submit(append_request request);

 private:
  void Run();

  std::string name_;
  log_client& log_;
  sink on_result_;
  milliseconds timeout_;
  bounded_ring<append_request> ring_;
  std::thread thread_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PLATFORM_CLIENT_H_
