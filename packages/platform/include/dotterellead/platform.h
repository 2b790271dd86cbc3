// Clients of the platform's append-only log and host list.
#ifndef DOTTERELLEAD_PLATFORM_H_
#define DOTTERELLEAD_PLATFORM_H_

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

struct log_record {
  log_offset offset;
  std::string data;
  bool operator==(const log_record&) const = default;
};

// Records read from a stream, in order and without gaps.
struct log_batch {
  stream_id stream;
  std::vector<log_record> records;
  // The oldest offset that the log still holds, and the one its next record
  // gets.
  log_offset first;
  log_offset next;
  // How long the log keeps a record.
  milliseconds retention{0};
};

// A stream could not be read.
struct log_unavailable {
  stream_id stream;
};

// The offset asked for is not in the stream: records from `asked` to before
// `first` have been dropped, or the stream is shorter than `asked` because it
// was reset.
struct log_truncated {
  stream_id stream;
  log_offset asked;
  // The oldest offset that the log still holds.
  log_offset first;
};

// What reading a stream gave.
using log_news = std::variant<log_batch, log_unavailable, log_truncated>;

// Asks for records to be appended to a stream as one unit. `token` comes back
// in the result.
struct append_request {
  stream_id stream;
  std::uint64_t token = 0;
  std::vector<std::string> records;
};

enum class append_status {
  kAppended,
  // The log said that it took nothing.
  kRefused,
  // No answer, or one that was lost: the records may be in the log.
  kUnknown,
};

struct append_result {
  stream_id stream;
  std::uint64_t token = 0;
  append_status status = append_status::kUnknown;
  // Offset of the first record, if appended; the others follow directly.
  log_offset first;
};

// The log service. Calls block for `timeout` at most and do not throw for an
// unreachable log.
class log_client {
 public:
  virtual ~log_client() = default;
  virtual append_result Append(const append_request& request,
                               milliseconds timeout) = 0;
  // Reads up to `max` records from `from`, waiting `wait` at most for the first
  // one.
  virtual std::variant<log_batch, log_unavailable> Read(const stream_id& stream,
                                                        log_offset from,
                                                        std::size_t max,
                                                        milliseconds wait) = 0;
};

// ---- Host list

enum class host_kind { kBackend, kEntry };
enum class host_state { kLive, kLeaving };

// One line of the platform's host list.
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

// The platform's list of hosts. It lags, so it is a hint and not a fact.
class host_list_client {
 public:
  virtual ~host_list_client() = default;
  // Returns nullopt if the list cannot be read.
  virtual std::optional<std::vector<listed_host>> List(
      milliseconds timeout) = 0;
};

// ---- Clients over HTTP

// Kept connections to one remote address; any thread may use them.
class http_connection_pool {
 public:
  explicit http_connection_pool(const socket_address& remote);
  // Sends on a connection that nobody else uses.
  send_result Send(const http_request& request, milliseconds timeout);

 private:
  std::unique_ptr<http_connection> Take();
  void Return(std::unique_ptr<http_connection> connection);

  socket_address remote_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<http_connection>> idle_;
};

// The log service over HTTP and JSON. Any thread may use it.
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

class http_host_list_client : public host_list_client {
 public:
  explicit http_host_list_client(const socket_address& remote);
  std::optional<std::vector<listed_host>> List(milliseconds timeout) override;

 private:
  http_connection_pool connections_;
};

// JSON of the platform's protocol. Decoding throws protocol_error if the text
// is malformed.
std::string EncodeAppendBody(const append_request& request);
// Returns the first offset; `expected` is the number of records sent.
log_offset DecodeAppendReply(std::string_view text, std::size_t expected);
log_batch DecodeReadReply(std::string_view text, const stream_id& stream);
std::vector<listed_host> DecodeHostList(std::string_view text);

// ---- Duties

// Reads one stream on its own thread from the offset that its owner sets, and
// hands on what comes. After log_truncated it waits for a new offset. While the
// log is unavailable it tries again after 20 ms, then up to 500 ms.
class log_tail {
 public:
  // The sink runs on the tail's thread and must not block for long.
  using sink = std::function<void(log_news&&)>;

  log_tail(log_client& log,
           stream_id stream,
           sink news,
           milliseconds wait = milliseconds(500),
           std::size_t max_records = 1'000);
  ~log_tail();
  log_tail(const log_tail&) = delete;
  log_tail& operator=(const log_tail&) = delete;

  void Start();
  // Returns once the read in progress has ended.
  void Stop();
  // Takes effect after the read in progress, whose result is dropped.
  void SetOffset(log_offset offset);

 private:
  void Run();
  std::optional<log_offset> AwaitOffset(std::uint64_t& generation);
  bool Handle(std::variant<log_batch, log_unavailable> result,
              log_offset asked,
              std::uint64_t generation);
  void Pause(milliseconds time, std::uint64_t generation);

  log_client& log_;
  stream_id stream_;
  sink news_;
  milliseconds wait_;
  std::size_t max_records_;
  std::mutex mutex_;
  std::condition_variable changed_;
  // Invalid while the owner has to set an offset.
  log_offset offset_;
  // Counts the owner's changes of the offset.
  std::uint64_t generation_ = 0;
  bool stopping_ = false;
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
               sink result,
               milliseconds timeout = milliseconds(500),
               std::size_t ring_capacity = 64);
  ~log_appender();
  log_appender(const log_appender&) = delete;
  log_appender& operator=(const log_appender&) = delete;

  void Start();
  // Appends what is in the ring, then ends the thread.
  void Stop();
  // A full ring refuses the request at once.
  void Submit(append_request request);

 private:
  void Run();

  std::string name_;
  log_client& log_;
  sink result_;
  milliseconds timeout_;
  bounded_ring<append_request> ring_;
  std::thread thread_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PLATFORM_H_
