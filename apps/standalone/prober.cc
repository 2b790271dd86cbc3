#include "prober.h"

#include <algorithm>

namespace dotterellead {
namespace {

constexpr char kLoadTarget[] = "/.load";

probe_result ResultOf(const send_result& sent) {
  if (sent.ok() && sent.answer.status == 200)
    return probe_result::kReport;
  return sent.failure == send_failure::kTimeout ? probe_result::kTimedOut
                                                : probe_result::kFailed;
}

}  // namespace

probe_completed prober::Probe(const send_probe& probe) {
  std::unique_ptr<http_connection>& connection = connections_[probe.server];
  const milliseconds limit =
      std::max(milliseconds(1),
               std::chrono::duration_cast<milliseconds>(probe.time_limit));
  if (connection == nullptr || !connection->IsReusable()) {
    connection = std::make_unique<http_connection>(
        ParseSocketAddress(probe.server.value()), limit);
  }
  const auto begin = std::chrono::steady_clock::now();
  const send_result sent =
      connection->Send({"GET",
                        kLoadTarget,
                        {{"request-timeout-ms", std::to_string(limit.count())}},
                        ""},
                       limit);
  const auto took = std::chrono::steady_clock::now() - begin;
  probe_completed done{.server = probe.server,
                       .result = ResultOf(sent),
                       .cost = std::chrono::duration_cast<microseconds>(took)};
  if (done.result == probe_result::kReport) {
    try {
      done.report = DecodeProbeReport(sent.answer.body);
    } catch (const protocol_error&) {
      done.result = probe_result::kFailed;
    }
  }
  if (done.result != probe_result::kReport)
    connection.reset();
  return done;
}

void prober::KeepOnly(const std::vector<server_id>& servers) {
  std::erase_if(connections_, [&](const auto& entry) {
    return std::find(servers.begin(), servers.end(), entry.first) ==
           servers.end();
  });
}

}  // namespace dotterellead
