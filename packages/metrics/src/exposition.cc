#include <fmt/format.h>

#include <array>
#include <iterator>

#include "metric_totals.h"

namespace dotterellead {
namespace {

using text = fmt::memory_buffer;

template <class... Args>
void Put(text& out, fmt::format_string<Args...> format, Args&&... args) {
  fmt::format_to(std::back_inserter(out), format, std::forward<Args>(args)...);
}

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || c == '"')
      escaped += '\\';
    escaped += c;
  }
  return escaped;
}

void PutHeader(text& out,
               std::string_view name,
               std::string_view type,
               std::string_view help) {
  Put(out, "# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

std::string LabelsOf(const metric_labels& labels) {
  std::string joined =
      fmt::format("tenant=\"{}\"", EscapeLabel(labels.tenant.value()));
  if (!labels.pool.is_valid())
    return joined;
  joined += fmt::format(",pool=\"{}\"", EscapeLabel(labels.pool.value()));
  joined += labels.route.is_valid()
                ? fmt::format(",route=\"{}\"", labels.route.value())
                : std::string(",route=\"other\"");
  return joined;
}

void PutHistogram(text& out,
                  std::string_view name,
                  const std::string& labels,
                  const latency_counts& counts) {
  std::uint64_t sum = 0;
  for (int i = -1; i < kLatencyBuckets; ++i) {
    sum += counts.buckets[i + 1];
    Put(out, "{}_bucket{{{},le=\"{:.6g}\"}} {}\n", name, labels,
        LatencyBoundUs(i) / 1e6, sum);
  }
  sum += counts.buckets.back();
  Put(out, "{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, sum);
  Put(out, "{}_sum{{{}}} {:.6f}\n", name, labels,
      static_cast<double>(counts.sum_us) / 1e6);
  Put(out, "{}_count{{{}}} {}\n", name, labels, sum);
}

struct histogram_family {
  std::string_view name;
  std::string_view help;
  latency_counts class_totals::*counts;
};

constexpr std::array<histogram_family, 2> kClassFamilies = {{
    {"dotterellead_request_seconds",
     "Time from the whole request to the answer, by class.",
     &class_totals::total},
    {"dotterellead_added_seconds",
     "Part of the request time that backend servers did not use, by class.",
     &class_totals::added},
}};

constexpr std::array<histogram_family, 2> kTenantFamilies = {{
    {"dotterellead_tenant_request_seconds",
     "Time from the whole request to the answer, by tenant.",
     &class_totals::total},
    {"dotterellead_tenant_added_seconds",
     "Part of the request time that backend servers did not use, by tenant.",
     &class_totals::added},
}};

void PutHistograms(text& out,
                   const std::array<histogram_family, 2>& families,
                   const class_map& classes) {
  for (const histogram_family& family : families) {
    PutHeader(out, family.name, "histogram", family.help);
    for (const auto& [labels, totals] : classes)
      PutHistogram(out, family.name, LabelsOf(labels), totals.*family.counts);
  }
}

void PutFailures(text& out, const class_map& classes) {
  constexpr std::string_view kName = "dotterellead_request_failures_total";
  PutHeader(out, kName, "counter", "Answers with a status of 500 or more.");
  for (const auto& [labels, totals] : classes)
    Put(out, "{}{{{}}} {}\n", kName, LabelsOf(labels), totals.failures);
}

struct counter_text {
  std::string_view name;
  std::string_view label;
  std::string_view help;
};

// In the order of counter_family, then the refusals.
constexpr std::array<counter_text, kFamilies> kCounters = {{
    {"dotterellead_attempts_total", "result",
     "Attempts at backend servers, by result."},
    {"dotterellead_slots_total", "event", "Slot events."},
    {"dotterellead_probes_total", "result",
     "Probes of backend servers, by result."},
    {"dotterellead_retries_total", "decision",
     "Retries asked for, by decision."},
    {"dotterellead_strikes_total", "event",
     "Events of requests that crash backend servers."},
    {"dotterellead_forwards_total", "outcome",
     "Requests forwarded to another entry host, by outcome."},
    {"dotterellead_refusals_total", "reason",
     "Answers that the entry host made itself, by reason."},
}};

void PutCounters(text& out,
                 const std::map<counter_key, std::uint64_t>& counters) {
  int family = -1;
  for (const auto& [key, value] : counters) {
    const counter_text& described = kCounters[key.family];
    if (key.family != family)
      PutHeader(out, described.name, "counter", described.help);
    family = key.family;
    const std::string tenant =
        key.tenant.empty()
            ? std::string()
            : fmt::format("tenant=\"{}\",", EscapeLabel(key.tenant));
    Put(out, "{}{{{}{}=\"{}\"}} {}\n", described.name, tenant, described.label,
        EscapeLabel(key.label), value);
  }
}

}  // namespace

std::string FormatExposition(const metric_totals& totals) {
  text out;
  PutHistograms(out, kClassFamilies, totals.classes);
  PutHistograms(out, kTenantFamilies, SumByTenant(totals.classes));
  PutFailures(out, totals.classes);
  PutCounters(out, totals.counters);
  return fmt::to_string(out);
}

}  // namespace dotterellead
