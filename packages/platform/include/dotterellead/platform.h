// Clients of the platform's append-only log and host list.
#ifndef DOTTERELLEAD_PLATFORM_H_
#define DOTTERELLEAD_PLATFORM_H_

#include <string>
#include <variant>
#include <vector>

#include "dotterellead/core.h"

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

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PLATFORM_H_
