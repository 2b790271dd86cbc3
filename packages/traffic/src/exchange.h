// One request to a backend server and its answer, and health probes.
#ifndef DOTTERELLEAD_TRAFFIC_EXCHANGE_H_
#define DOTTERELLEAD_TRAFFIC_EXCHANGE_H_

#include <optional>

#include "dotterellead/dispatch.h"
#include "dotterellead/traffic.h"
#include "messages.h"
#include "server_links.h"

namespace dotterellead::traffic {

struct exchange_result {
  dispatch::attempt_result result = dispatch::attempt_result::kConnectionLost;
  int status = 0;
  std::optional<dispatch::load_report> load;
  // Set if `result` is kAnswered.
  answer_message answer;
};

// Lets the owner of a call end an exchange under way.
struct exchange_handle {
  link_ptr link;
  bool is_cancelled = false;
  void Cancel();
};

// Sends `request` to `server` on a connection that is known to work, and reads
// the whole answer. Ends at `limit` with kBroken.
task<exchange_result> Exchange(
    server_links& links,
    const header_names& names,
    const dispatch::server_ref& server,
    const std::shared_ptr<const request_message>& request,
    milliseconds limit,
    const std::shared_ptr<exchange_handle>& handle);

// Asks for health and load.
task<dispatch::load_sample> Probe(server_links& links,
                                  const header_names& names,
                                  const dispatch::server_ref& server,
                                  milliseconds limit);

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_EXCHANGE_H_
