// The configuration and moves of two entry hosts in one thread, under a manual
// clock, with a log in memory. Everything that happens is written to a
// transcript.
#ifndef DOTTERELLEAD_TESTS_CONTROL_WORLD_H_
#define DOTTERELLEAD_TESTS_CONTROL_WORLD_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterellead/config.h"
#include "dotterellead/rollout.h"

namespace dotterellead::golden {

class control_world {
 public:
  // The log drops records that are older than `retention`.
  explicit control_world(milliseconds retention);

  // Writes the resource through host 0 or 1. `expected` is the revision that
  // the operator has seen.
  void Apply(std::size_t host,
             const resource& item,
             std::optional<log_offset> expected = std::nullopt);
  // The next append takes effect, but its reply does not arrive.
  void LoseNextReply() { loses_reply_ = true; }
  void Restart(std::size_t host);
  void Run(milliseconds time);
  // Sends each host 200 requests a second; those to the new version fail if
  // `is_bad`.
  void Serve(milliseconds time, bool is_bad);
  // Writes each host's table.
  void ShowTables();

  unix_millis wall() const;
  const std::string& transcript() const { return transcript_; }

 private:
  struct host {
    std::unique_ptr<config_machine> config;
    std::unique_ptr<rollout_machine> rollout;
    log_offset tail{0};
    std::uint64_t runs = 0;
    std::uint64_t requests = 0;
    version_shares shares;
    config_snapshot view;
    std::vector<append_result> results;
  };
  struct entry {
    std::string text;
    milliseconds at;
  };

  void Write(const std::string& line);
  void WriteOf(std::size_t i, const std::string& line);
  timestamp Now() const;
  void Tick();
  void TickHost(std::size_t i);
  attempt_batch MakeAttempts(host& h) const;
  log_batch Read(log_offset from) const;
  void Give(std::size_t i, const config_machine::message& m);
  void Give(std::size_t i, const rollout_machine::message& m);

  void Carry(std::size_t i, const config_published& e);
  void Carry(std::size_t i, const write_result& e);
  void Carry(std::size_t i, const append_request& e);
  void Carry(std::size_t i, const set_tail_offset& e);
  void Carry(std::size_t i, const log_readable_changed& e);
  void Carry(std::size_t, const fetch_from_peer&) {}
  void Carry(std::size_t, const peer_answer&) {}
  void Carry(std::size_t i, const propose_step& e);
  void Carry(std::size_t i, const share_changed& e);
  void Carry(std::size_t i, const evidence_to_peers& e);
  void Carry(std::size_t i, const rolled_back_to_peers& e);

  milliseconds now_{0};
  milliseconds retention_;
  bool loses_reply_ = false;
  bool serves_ = false;
  bool is_bad_ = false;
  std::uint64_t last_request_ = 0;
  std::vector<entry> log_;
  std::size_t first_ = 0;
  std::vector<host> hosts_;
  std::string transcript_;
};

}  // namespace dotterellead::golden

#endif  // DOTTERELLEAD_TESTS_CONTROL_WORLD_H_
