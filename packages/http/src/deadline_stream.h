// A client connection whose reads and writes end at a deadline.
#ifndef DOTTERELLEAD_HTTP_DEADLINE_STREAM_H_
#define DOTTERELLEAD_HTTP_DEADLINE_STREAM_H_

#include <mutex>

#include "dotterellead/http.h"
#include "dotterellead/net.h"

namespace dotterellead {

// A SyncStream as Beast defines it. One thread uses it at a time; only Cancel
// is for others. Waits in poll, so that a connection takes one descriptor.
class deadline_stream {
 public:
  deadline_stream() = default;
  ~deadline_stream() { Close(); }
  deadline_stream(const deadline_stream&) = delete;
  deadline_stream& operator=(const deadline_stream&) = delete;

  // Opens a new connection within `timeout`; false if that fails.
  bool Connect(const socket_address& remote, milliseconds timeout);
  void Close();
  bool is_open() const { return socket_ >= 0; }
  // Ends the operation in progress, and all later ones until the next Connect.
  // Thread-safe.
  void Cancel();
  // Waits for `events` of poll. Returns those that occurred, 0 after `timeout`.
  short Wait(short events, milliseconds timeout) const;

  // Operations fail with asio::error::timed_out from then on.
  void SetDeadline(time_point deadline) { deadline_ = deadline; }

  template <class Buffers>
  std::size_t read_some(const Buffers& buffers, error_code& ec) {
    for (auto it = asio::buffer_sequence_begin(buffers);
         it != asio::buffer_sequence_end(buffers); ++it)
      if (const asio::mutable_buffer part = *it; part.size() > 0)
        return Read(part, ec);
    return 0;
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers, error_code& ec) {
    for (auto it = asio::buffer_sequence_begin(buffers);
         it != asio::buffer_sequence_end(buffers); ++it)
      if (const asio::const_buffer part = *it; part.size() > 0)
        return Write(part, ec);
    return 0;
  }
  // As above; throw boost::system::system_error.
  template <class Buffers>
  std::size_t read_some(const Buffers& buffers) {
    error_code ec;
    const std::size_t size = read_some(buffers, ec);
    return ec ? throw beast::system_error(ec) : size;
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers) {
    error_code ec;
    const std::size_t size = write_some(buffers, ec);
    return ec ? throw beast::system_error(ec) : size;
  }

 private:
  std::size_t Read(const asio::mutable_buffer& buffer, error_code& ec);
  std::size_t Write(const asio::const_buffer& buffer, error_code& ec);
  // Waits until the deadline; sets `ec` if nothing occurred by then.
  void WaitUntilDeadline(short events, error_code& ec) const;

  // Guards the descriptor against a close while Cancel uses it.
  std::mutex mutex_;
  int socket_ = -1;
  time_point deadline_ = time_point::max();
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_HTTP_DEADLINE_STREAM_H_
