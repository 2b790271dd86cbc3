// JSON texts of the operators' API.
#ifndef DOTTERELLEAD_OPERATE_CODEC_H_
#define DOTTERELLEAD_OPERATE_CODEC_H_

#include "dotterellead/operate.h"

namespace dotterellead {

std::string EncodeKinds();
// {"through","items":[...]} with all resources of one kind.
std::string EncodeList(const config_view& view, const std::string& kind);
// nullopt if the resource does not exist.
std::optional<std::string> EncodeOne(const config_view& view,
                                     const resource_key& key);
std::string EncodeChanges(const config_changes& changes);
std::string EncodeStatus(const config_view* view,
                         const host_status& host,
                         const health_status& health);
std::string EncodeExplanations(const std::vector<server_explanation>& all);
std::string EncodeStats(const interval_stats& stats);

// {"error","remedy"}
std::string EncodeError(const std::string& problem, const std::string& remedy);

// Status code and body of a write's outcome.
struct encoded_outcome {
  int status = 200;
  std::string body;
};
encoded_outcome EncodeOutcome(const write_outcome& outcome, bool dry_run);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_OPERATE_CODEC_H_
