// Answers the operators' API from what the duties reported.
#ifndef DOTTERELLEAD_OPERATOR_VIEW_H_
#define DOTTERELLEAD_OPERATOR_VIEW_H_

#include <atomic>
#include <functional>

#include "dotterellead/metrics.h"
#include "dotterellead/operate.h"
#include "dotterellead/peer.h"
#include "host_reports.h"
#include "peer_directory.h"

namespace dotterellead {

// All that the view reads; each outlives it.
struct operator_view_parts {
  const member_id& self;
  const data_centre_id& data_centre;
  incarnation_id incarnation;
  const clock_source& clock;
  config_feed& feed;
  host_reports& state;
  peer_directory& directory;
  request_metrics& metrics;
  // Counts of calls between hosts, both directions.
  std::function<peer_stats()> peers;
};

class operator_view : public operator_backend {
 public:
  explicit operator_view(const operator_view_parts& parts) : parts_(parts) {}
  // Sets the duty that writes. Without one, writes are refused.
  void Join(duty<config_machine>& config) { config_ = &config; }
  void Deliver(const write_result& result);

  config_snapshot Config() override;
  write_outcome Write(const operator_write& write,
                      time_point deadline) override;
  config_changes ChangesFrom(log_offset from, time_point deadline) override;
  host_status Status() override;
  health_status Health() override;
  std::vector<server_explanation> ExplainPool(const pool_id& pool) override;
  std::vector<server_explanation> ExplainServer(
      const server_id& server) override;
  interval_stats Stats() override;
  std::string Metrics() override;

 private:
  template <class Matches>
  std::vector<server_explanation> Explain(Matches matches) const;

  operator_view_parts parts_;
  duty<config_machine>* config_ = nullptr;
  std::atomic<std::uint64_t> next_request_{1};
  pending_responses<write_outcome> answers_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_OPERATOR_VIEW_H_
