// The threads that read and append to the platform's log for the duties.
#ifndef DOTTERELLEAD_LOG_ACCESS_H_
#define DOTTERELLEAD_LOG_ACCESS_H_

#include <functional>
#include <memory>
#include <vector>

#include "dotterellead/platform_client.h"

namespace dotterellead {

// One stream with its reader and its appender. Appends to one stream are made
// one at a time.
class stream_access {
 public:
  using news_sink = std::function<void(log_event&&)>;
  using result_sink = std::function<void(append_result&&)>;

  stream_access(log_client& log,
                const stream_id& stream,
                news_sink news,
                result_sink result)
      : stream_(stream),
        tail_(log, stream, std::move(news)),
        appender_(stream.value(), log, std::move(result)) {}

  const stream_id& stream() const { return stream_; }
  void Start() {
    appender_.Start();
    tail_.Start();
  }
  void Stop() {
    tail_.Stop();
    appender_.Stop();
  }
  void ReadFrom(log_offset offset) { tail_.SetOffset(offset); }
  void Append(append_request request) { appender_.Submit(std::move(request)); }

 private:
  stream_id stream_;
  log_tail tail_;
  log_appender appender_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_LOG_ACCESS_H_
