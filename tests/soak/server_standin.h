// A backend server: slots, a short queue, health and load, faults; it keeps
// what it ran, for the checks.
#ifndef TESTS_SOAK_SERVER_STANDIN_H_
#define TESTS_SOAK_SERVER_STANDIN_H_

#include <functional>
#include <map>
#include <optional>

#include "standin_net.h"

namespace dotterellead::soak {

// What all servers ran, by the caller's id of the request.
struct run_log {
  std::map<std::string, int> runs;
  // Requests that reached a server, whether it ran them or not.
  std::map<std::string, int> arrivals;
  // Arrivals beyond the first of each request, by pool.
  std::map<std::string, std::vector<time_point>> repeats;
  // Pools that ran each request.
  std::map<std::string, std::string> pool_of;
  // Starts on servers that had announced their leaving for too long.
  int after_leaving = 0;
};

// What one run of a server has told one host, and what reached it since.
struct told_host {
  // When the host was first told that the server leaves.
  std::optional<time_point> leaving_since;
  // The time that the server asked for, and requests within it.
  time_point busy_from{};
  time_point busy_until{};
  int requests_while_busy = 0;
};

// Judges a request from a host to a server that had told the host not to send
// any: called with the host's name, since when the host knew, and what is
// wrong.
using notice_judge = std::function<
    void(const std::string& host, time_point since, const std::string& what)>;

class server_standin {
 public:
  server_standin(asio::io_context& io,
                 std::string id,
                 std::string pool,
                 int port,
                 run_log& log,
                 notice_judge judge);
  void Crash();
  void Restart();
  // The server leaves, and says so in its responses. If not `is_reported`, its
  // entry says that it is ready, and its health checks succeed.
  void Leave(bool is_reported) {
    leaving_since_ = std::chrono::steady_clock::now();
    is_leaving_reported_ = is_reported;
  }
  bool is_leaving_reported() const {
    return is_leaving() && is_leaving_reported_;
  }
  // Answers each request with 503 and this Retry-After until the time is over.
  void AskForTime(milliseconds time) {
    asks_until_ = std::chrono::steady_clock::now() + time;
    asked_time_ = time;
  }
  void SetLosesAnswers(bool loses) { loses_answers_ = loses; }
  // Rejects two of three requests, as if it were full.
  void SetSheds(bool sheds) { sheds_ = sheds; }
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
  void JudgeArrival(const std::string& host);
  // Adds what the server says of itself to an answer for the host.
  void AddNotices(const std::string& host, answer_message& answer);

  asio::io_context& io_;
  std::string id_;
  std::string pool_;
  int port_;
  run_log& log_;
  notice_judge judge_;
  std::map<std::string, told_host> told_;
  time_point asks_until_{};
  milliseconds asked_time_{0};
  tcp::acceptor acceptor_;
  std::uint64_t life_ = 0;
  std::int64_t born_ = 0;
  int running_ = 0;
  int waiting_ = 0;
  bool loses_answers_ = false;
  bool sheds_ = false;
  int shed_count_ = 0;
  bool is_slow_ = false;
  time_point leaving_since_{};
  bool is_leaving_reported_ = false;
};

}  // namespace dotterellead::soak

#endif  // TESTS_SOAK_SERVER_STANDIN_H_
