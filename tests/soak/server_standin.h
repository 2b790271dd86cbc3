// A backend server: slots, a short queue, health and load, faults; it keeps
// what it ran, for the checks.
#ifndef TESTS_SOAK_SERVER_STANDIN_H_
#define TESTS_SOAK_SERVER_STANDIN_H_

#include <map>

#include "standin_net.h"

namespace dotterellead::soak {

// What all servers ran, by the caller's id of the request.
struct run_log {
  std::map<std::string, int> runs;
  // Pools that ran each request.
  std::map<std::string, std::string> pool_of;
  // Starts on servers that had announced their leaving for too long.
  int after_leaving = 0;
};

class server_standin {
 public:
  server_standin(asio::io_context& io,
                 std::string id,
                 std::string pool,
                 int port,
                 run_log& log);
  void Crash();
  void Restart();
  void Leave(time_point from) { leaving_since_ = from; }
  void SetLosesAnswers(bool loses) { loses_answers_ = loses; }
  void SetSlow(bool is_slow) { is_slow_ = is_slow; }
  bool is_up() const { return acceptor_.is_open(); }
  bool is_leaving() const { return leaving_since_ != time_point(); }
  const std::string& id() const { return id_; }
  const std::string& pool() const { return pool_; }
  std::int64_t born() const { return born_; }

 private:
  task<> Serve(stream_ptr stream);
  task<answer_message> Answer(const request_message& request,
                              std::uint64_t life,
                              bool& is_lost);
  std::string Load() const;

  asio::io_context& io_;
  std::string id_;
  std::string pool_;
  int port_;
  run_log& log_;
  tcp::acceptor acceptor_;
  std::uint64_t life_ = 0;
  std::int64_t born_ = 0;
  int running_ = 0;
  int waiting_ = 0;
  bool loses_answers_ = false;
  bool is_slow_ = false;
  time_point leaving_since_{};
};

}  // namespace dotterellead::soak

#endif  // TESTS_SOAK_SERVER_STANDIN_H_
