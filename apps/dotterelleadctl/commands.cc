#include "commands.h"

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "dotterellead/config.h"
#include "output.h"

namespace dotterellead {
namespace {

constexpr milliseconds kInForcePoll{200};
constexpr char kWatchWait[] = "25000";

std::string ReadAll(const std::string& file) {
  std::ostringstream text;
  if (file == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream in(file);
  if (!in) {
    throw invalid_setting_error("--file: cannot read " + file,
                                "name a readable file");
  }
  text << in.rdbuf();
  return text.str();
}

std::string PathOf(const std::string& kind, const std::string& name) {
  return "/v1/" + PercentEncode(kind) + "/" + PercentEncode(name);
}

}  // namespace

std::span<const commands::entry> commands::Commands() {
  static constexpr std::array<entry, 7> kCommands = {{
      {"apply", &commands::Apply},
      {"get", &commands::Get},
      {"list", &commands::List},
      {"delete", &commands::Delete},
      {"watch", &commands::Watch},
      {"status", &commands::Status},
      {"explain", &commands::Explain},
  }};
  return kCommands;
}

exit_code commands::Run() {
  for (const entry& e : Commands()) {
    if (e.name == options_.command)
      return (this->*e.run)();
  }
  return exit_code::kUsage;
}

exit_code commands::Print(const api_result& result) {
  std::ostream& to = result.code == exit_code::kOk ? out_ : problems_;
  to << (options_.json ? result.body : FormatTable(result.body)) << std::flush;
  return result.code;
}

std::string commands::WriteOptions() const {
  std::string query = options_.dry_run ? "?dry_run=1" : "?dry_run=0";
  if (!options_.revision.empty())
    query += "&revision=" + PercentEncode(options_.revision);
  return query;
}

exit_code commands::Apply() {
  const std::vector<std::string> texts = SplitResources(ReadAll(options_.file));
  if (texts.empty())
    throw invalid_input_error("the file holds no resource", "add one");
  // All are checked first, so that a typing error leaves nothing half applied.
  for (const std::string& text : texts)
    ParseResource(text);
  for (const std::string& text : texts) {
    const exit_code code = ApplyOne(text);
    if (code != exit_code::kOk)
      return code;
  }
  const bool waits = options_.wait_in_force_seconds > 0 && !options_.dry_run;
  return waits && highest_ ? WaitInForce() : exit_code::kOk;
}

exit_code commands::ApplyOne(const std::string& text) {
  const resource_key key = KeyOf(ParseResource(text));
  const api_result result =
      client_.Write("PUT", PathOf(key.kind, key.name) + WriteOptions(), text);
  if (!options_.json)
    (result.code == exit_code::kOk ? out_ : problems_)
        << key.kind << " " << key.name << "\n";
  const auto revision = ReadNumberField(result.body, "revision");
  if (result.code == exit_code::kOk && revision)
    highest_ = std::max(highest_.value_or(0), *revision);
  return Print(result);
}

exit_code commands::WaitInForce() {
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::seconds(options_.wait_in_force_seconds);
  while (true) {
    const api_result status = client_.Read("/v1/status");
    std::string behind = "status unavailable";
    if (status.code == exit_code::kOk) {
      behind.clear();
      for (const std::string& m : MembersBehind(status.body, *highest_))
        behind += " " + m;
    }
    if (behind.empty())
      return exit_code::kOk;
    if (std::chrono::steady_clock::now() >= end) {
      problems_ << "not in force in time on:" << behind << "\n";
      return exit_code::kNotInForce;
    }
    std::this_thread::sleep_for(kInForcePoll);
  }
}

exit_code commands::Get() {
  return Print(client_.Read(PathOf(options_.kind, options_.name)));
}

exit_code commands::List() {
  return Print(client_.Read("/v1/" + PercentEncode(options_.kind)));
}

exit_code commands::Delete() {
  return Print(client_.Write(
      "DELETE", PathOf(options_.kind, options_.name) + WriteOptions(), ""));
}

exit_code commands::Watch() {
  std::uint64_t from = options_.from;
  for (std::uint32_t n = 0; options_.rounds == 0 || n < options_.rounds; ++n) {
    const api_result result = client_.Read(
        "/v1/watch?from=" + std::to_string(from) + "&wait_ms=" + kWatchWait);
    if (Print(result) != exit_code::kOk)
      return result.code;
    // Another host may lag behind the one that answered before.
    from = std::max(from, ReadNumberField(result.body, "next").value_or(0));
  }
  return exit_code::kOk;
}

exit_code commands::Status() {
  return Print(client_.Read("/v1/status"));
}

exit_code commands::Explain() {
  if (options_.server.empty() == options_.pool.empty()) {
    throw invalid_setting_error("neither --server nor --pool is given",
                                "give one of them");
  }
  const std::string query = options_.server.empty()
                                ? "pool=" + PercentEncode(options_.pool)
                                : "server=" + PercentEncode(options_.server);
  return Print(client_.Read("/v1/explain?" + query));
}

}  // namespace dotterellead
