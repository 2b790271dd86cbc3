// One entry host's decisions in one thread, under a manual clock, with
// hand-written fakes of the log and the backend servers. Everything that
// happens is written to a transcript.
#ifndef DOTTERELLEAD_TESTS_SESSION_WORLD_H_
#define DOTTERELLEAD_TESTS_SESSION_WORLD_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dotterellead/balance.h"
#include "dotterellead/idempotency.h"
#include "dotterellead/proxy.h"

namespace dotterellead::golden {

// What the log does with the next appends.
enum class log_mode { kUp, kLosesReplies, kDown };

// What the next attempt meets at a backend server.
enum class server_mode { kAnswers, kFails, kSheds, kRefuses, kCuts, kSilent };

class session_world {
 public:
  session_world();
  ~session_world();

  // Sends one request and writes it, all that follows from it, and its answer.
  void Request(const std::string& method,
               const std::string& key_name,
               const std::string& body);
  void SetLog(log_mode mode);
  // Each attempt takes the next mode; then servers answer.
  void SetServers(std::deque<server_mode> modes);
  void Wait(milliseconds time);

  const std::string& transcript() const { return transcript_; }

 private:
  class fake_clock;
  class fake_slots;
  class fake_claims;
  class open_admission;
  class any_version;
  class fake_backends;
  class no_homes;
  class no_observer;
  class present_caller;

  void Write(const std::string& line);

  std::string transcript_;
  std::unique_ptr<fake_clock> clock_;
  std::unique_ptr<fake_slots> slots_;
  std::unique_ptr<fake_claims> claims_;
  std::unique_ptr<open_admission> admission_;
  std::unique_ptr<any_version> versions_;
  std::unique_ptr<fake_backends> backends_;
  std::unique_ptr<no_homes> homes_;
  std::unique_ptr<no_observer> observer_;
  std::unique_ptr<request_flow> flow_;
};

}  // namespace dotterellead::golden

#endif  // DOTTERELLEAD_TESTS_SESSION_WORLD_H_
