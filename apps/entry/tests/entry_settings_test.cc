#include "entry_settings.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <fstream>
#include <map>
#include <regex>
#include <sstream>

using namespace dotterellead;
using namespace dotterellead::entry;

namespace {

using placeholder_values = std::map<std::string, std::string>;

// The placeholders of the template that every deployment fills in.
placeholder_values HostValues() {
  return {{"node", "h1"},
          {"zone", "dc-a"},
          {"ip", "127.0.0.1"},
          {"listen.front", "127.0.0.1:1"},
          {"listen.ready", "127.0.0.1:2"},
          {"listen.control", "127.0.0.1:3"},
          {"platform.address", "127.0.0.1:4"}};
}

// The parts of the terms, as deployments have them, and the limits of each.
std::vector<placeholder_values> Terms() {
  return {{{"bounds.drainS", "2.5"},
           {"bounds.graceS", "6"},
           {"bounds.configApplyS", "2.5"}},
          {{"bounds.retryBudgetRatio", "0.2"},
           {"bounds.budgetWindowS", "10"},
           {"bounds.budgetSlack", "168"}},
          {{"bounds.probesPerS", "42"}},
          {{"cloud.address", "127.0.0.1:6"},
           {"bounds.windowS", "5"},
           {"bounds.usageLateS", "10"},
           {"bounds.leaseS", "3"},
           {"bounds.requireFencing", "true"}},
          {{"bounds.exposeShare", "0.1"}, {"bounds.exposeSlack", "50"}},
          {{"limits.memoryMb", "512"}, {"limits.maxFds", "8192"}},
          {{"bounds.revokeS", "5"}, {"bounds.strictRevocation", "true"}},
          {{"bootstrap", "true"}}};
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  REQUIRE(file.good());
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Fills the deployment's template; a placeholder without a value gives nothing,
// as the platform does it.
std::string FillTemplate(const placeholder_values& values) {
  const std::string text = std::regex_replace(
      ReadFile(DOTTERELLEAD_ENTRY_TEMPLATE),
      std::regex(R"(\{\{#(\w+)\}\}.*\{\{/\1\}\})"), "\"127.0.0.1:5\"");
  const std::regex placeholder(R"(\{\{([\w.]+)\}\})");
  std::string filled;
  auto rest = text.cbegin();
  for (std::sregex_iterator it(text.begin(), text.end(), placeholder), end;
       it != end; ++it) {
    filled.append(rest, (*it)[0].first);
    const auto value = values.find((*it)[1]);
    if (value != values.end())
      filled += value->second;
    rest = (*it)[0].second;
  }
  return filled.append(rest, text.cend());
}

entry_settings ReadFilled(const std::string& text) {
  const std::string path =
      "/tmp/entry_settings_test." + std::to_string(getpid());
  std::ofstream(path) << text;
  const char* arguments[] = {"dotterellead", "--config", path.c_str()};
  int exit_code = 0;
  std::optional<entry_settings> settings;
  try {
    settings = ReadSettings(std::size(arguments), arguments, exit_code);
  } catch (...) {
    unlink(path.c_str());
    throw;
  }
  unlink(path.c_str());
  REQUIRE(settings.has_value());
  return *settings;
}

std::string WithoutLine(const std::string& text, const std::string& name) {
  return std::regex_replace(text, std::regex("(^|\n)" + name + "=[^\n]*"), "");
}

}  // namespace

// Guards against hosts that do not start on a deployment whose terms lack a
// part: the template then writes empty values.
TEST_CASE("the settings are read for each subset of the terms") {
  const std::vector<placeholder_values> terms = Terms();
  const std::size_t subsets = std::size_t{1} << terms.size();
  for (std::size_t subset = 0; subset < subsets; ++subset) {
    CAPTURE(subset);
    placeholder_values values = HostValues();
    for (std::size_t part = 0; part < terms.size(); ++part)
      if ((subset >> part & 1) != 0)
        values.insert(terms[part].begin(), terms[part].end());
    const entry_settings s = ReadFilled(FillTemplate(values));
    CHECK(s.has_moves == values.contains("bounds.exposeShare"));
    CHECK(s.has_strict_revocation == values.contains("bounds.revokeS"));
    CHECK(s.is_first_start == values.contains("bootstrap"));
    CHECK(s.retry_allowance ==
          (values.contains("bounds.budgetSlack") ? 168 : 50));
    CHECK(s.operations_address.is_valid() == values.contains("cloud.address"));
    CHECK(s.usage_window.has_value() == values.contains("bounds.windowS"));
    CHECK(s.require_fencing == values.contains("bounds.requireFencing"));
    CHECK(s.max_probe_rate == (values.contains("bounds.probesPerS") ? 42 : 60));
    CHECK(s.memory_mb == (values.contains("limits.memoryMb") ? 512 : 160));
    CHECK(s.max_descriptors == (values.contains("limits.maxFds") ? 8192 : 0));
    CHECK(DescribeMissingSettings(s).empty() ==
          (values.contains("bounds.drainS") &&
           values.contains("bounds.revokeS") &&
           values.contains("bounds.budgetSlack") &&
           values.contains("bounds.probesPerS") &&
           values.contains("bounds.windowS") &&
           values.contains("limits.maxFds") &&
           values.contains("bounds.exposeShare")));
  }
}

TEST_CASE("each limit may be absent or empty by itself") {
  placeholder_values all = HostValues();
  for (const placeholder_values& limits : Terms())
    all.insert(limits.begin(), limits.end());
  const std::string filled = FillTemplate(all);
  CHECK(ReadFilled(filled).missing.empty());
  for (const char* name :
       {"expose-share", "expose-slack", "stop-s", "config-s", "drain-s",
        "repeat-ratio", "repeat-window-s", "repeat-slack", "probes-per-s",
        "usage-window-s", "usage-late-s", "lease-s", "revoke-s", "memory-mb",
        "max-fds"}) {
    CAPTURE(name);
    const std::string absent = WithoutLine(filled, name);
    REQUIRE(absent != filled);
    for (const std::string& text : {absent, absent + "\n" + name + "=\n",
                                    absent + "\n" + name + "=\"\""}) {
      const entry_settings s = ReadFilled(text);
      CHECK(s.missing == std::vector<std::string>{name});
      CHECK(DescribeMissingSettings(s).starts_with(name));
    }
  }
}

TEST_CASE("unknown settings are ignored") {
  CHECK(ReadFilled(FillTemplate(HostValues()) + "\nnot-a-setting=7\n").host ==
        member_id("h1"));
}

TEST_CASE("a value out of range names the setting, the value and the remedy") {
  struct invalid_value {
    std::string name;
    std::string value;
    std::string remedy;
  };
  for (const invalid_value& invalid :
       std::vector<invalid_value>{{"expose-share", "1.5", "0 to 1"},
                                  {"expose-share", "nan", "0 to 1"},
                                  {"probes-per-s", "0", "0.1 to 1e+06"},
                                  {"stop-s", "6x", "0.1 to 600"},
                                  {"require-fencing", "2", "true or false"},
                                  {"usage-window-s", "0", "0.5 to 600"},
                                  {"memory-mb", "8", "16 to 1e+06"},
                                  {"max-fds", "-1", "96 to 1e+08"},
                                  {"first-start", "maybe", "true or false"}}) {
    CAPTURE(invalid.name);
    const std::string text =
        WithoutLine(FillTemplate(HostValues()), invalid.name) + "\n" +
        invalid.name + "=" + invalid.value + "\n";
    try {
      ReadFilled(text);
      FAIL("accepted");
    } catch (const invalid_setting_error& e) {
      CHECK(e.problem() ==
            "setting " + invalid.name + " is '" + invalid.value + "'");
      CHECK(e.remedy().find(invalid.remedy) != std::string::npos);
    }
  }
}
