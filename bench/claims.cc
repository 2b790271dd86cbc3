#include <fmt/core.h>
#include <json/json.h>

#include <sstream>

#include "scenarios.h"

namespace dotterellead::bench {
namespace {

struct log_stats {
  double appends = 0;
  double over_rate = 0;
  double most_per_second = 0;
};

log_stats ReadStats(const harness::cluster& c) {
  const send_result r = SendOnce(
      c.platform_address(), {"GET", "/.stats", {}, ""}, milliseconds(5'000));
  Json::Value json;
  std::istringstream text(r.answer.body);
  std::string problem;
  if (!r.ok() ||
      !Json::parseFromStream(Json::CharReaderBuilder(), text, &json, &problem))
    throw protocol_error("no statistics from the log", "check the stand-in");
  return {json["appends"].asDouble(), json["over_rate"].asDouble(),
          json["most_per_second"].asDouble()};
}

std::vector<sample> OfKind(const std::vector<sample>& samples, bool post) {
  std::vector<sample> kind;
  for (const sample& s : samples) {
    if (s.post == post)
      kind.push_back(s);
  }
  return kind;
}

// Keys that ran more than once by the servers' own count.
double CountRepeatedRuns(const harness::cluster& c) {
  double repeated = 0;
  for (const auto& [key, runs] : c.TotalLedger().runs_by_key)
    repeated += runs > 1 ? 1 : 0;
  return repeated;
}

void AddRows(table& t,
             const harness::cluster& c,
             double rate,
             const bench_options& options) {
  c.ControlAllBackends(R"({"reset_ledger":1})");
  load_options load = LoadOn(
      c, rate, milliseconds(options.quick ? 3'000 : 5'000), options.seed);
  load.post_per_mille = 500;
  const log_stats before = ReadStats(c);
  const std::vector<sample> samples = RunLoad(load);
  const log_stats after = ReadStats(c);
  const double seconds = static_cast<double>(load.duration.count()) / 1e3;
  const std::vector<sample> gets = OfKind(samples, false);
  const std::vector<sample> posts = OfKind(samples, true);
  for (const double quantile : {0.5, 0.99, 0.999}) {
    const double get = Millis(Quantile(ServedLatencies(gets), quantile));
    const double post = Millis(Quantile(ServedLatencies(posts), quantile));
    t.rows.push_back({static_cast<double>(posts.size()) / seconds,
                      fmt::format("p{:g}", quantile * 100), get, post,
                      post - get, (after.appends - before.appends) / seconds,
                      after.over_rate - before.over_rate, CountRepeatedRuns(c),
                      FailureText(gets), FailureText(posts)});
  }
}

}  // namespace

tables MeasureClaims(const bench_options& options) {
  harness::cluster c(ClusterOf(4, 2, 5'000, "claims"));
  c.Start();
  table t{.name = "claims",
          .title =
              "4 entry hosts, 12 slots, service 5 ms, GET and POST mixed "
              "evenly, log of 300 appends/s, in ms",
          .columns = {"POST/s", "quantile", "GET", "POST", "added", "appends/s",
                      "over rate", "keys run twice", "GET failures",
                      "POST failures"}};
  for (const double rate : {100.0, 400.0}) {
    if (!options.quick || rate < 200)
      AddRows(t, c, rate, options);
  }
  return {t};
}

}  // namespace dotterellead::bench
