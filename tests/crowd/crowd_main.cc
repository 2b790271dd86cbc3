// Lets a crowd of one kind hold connections to one host with lowered limits,
// and checks that the host lives, stays within them, and serves an ordinary
// request afterwards.
#include <fmt/core.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>

#include "crowd_targets.h"
#include "host_costs.h"

namespace dotterellead::crowd {
namespace {

constexpr milliseconds kStartTimeout{30'000};
constexpr milliseconds kCrowdTimeout{60'000};
constexpr milliseconds kAnswerTimeout{30'000};
constexpr std::size_t kOrdinaryBody = 100;
constexpr long kKilobytesPerMegabyte = 1'024;

// The ordinary requests have ids beyond those of the crowd.
bool IsServed(const crowd_target& target, std::size_t body_size) {
  static std::size_t id = 1'000'000;
  const client_script script = WholeRequest(target.protocol(), ++id, body_size);
  http_request request{"POST", "", {}, *script.body};
  std::size_t at = script.header.find(' ') + 1;
  request.target = script.header.substr(at, script.header.find(' ', at) - at);
  at = script.header.find("\r\n") + 2;
  while (at < script.header.size() - 2) {
    const std::size_t end = script.header.find("\r\n", at);
    const std::size_t colon = script.header.find(": ", at);
    request.headers.push_back(
        {script.header.substr(at, colon - at),
         script.header.substr(colon + 2, end - colon - 2)});
    at = end + 2;
  }
  const send_result r =
      SendOnce(target.callers(), request, milliseconds(5'000));
  return r.ok() && r.answer.status == 200;
}

std::size_t OpenDescriptors(pid_t pid) {
  std::error_code ec;
  std::size_t count = 0;
  const std::filesystem::path folder = fmt::format("/proc/{}/fd", pid);
  for (std::filesystem::directory_iterator it(folder, ec), end;
       !ec && it != end; it.increment(ec))
    ++count;
  return count;
}

struct peak_use {
  long private_kb = 0;
  std::size_t descriptors = 0;
  void Sample(pid_t pid) {
    private_kb = std::max(private_kb, soak::ReadCosts(pid).private_kb);
    descriptors = std::max(descriptors, OpenDescriptors(pid));
  }
};

bool Check(bool holds, const std::string& text) {
  fmt::print("{}: {}\n", holds ? "holds" : "BROKEN", text);
  return holds;
}

bool RunCrowd(crowd_target& target,
              const crowd_kind& kind,
              const host_limits& limits) {
  const pid_t pid = target.host().pid();
  peak_use at_rest;
  at_rest.Sample(pid);
  fmt::print("at rest: {} kB private, {} descriptors\n", at_rest.private_kb,
             at_rest.descriptors);
  peak_use peak;
  crowd_clients clients;
  for (std::size_t i = 0; i < kind.clients; ++i)
    clients.Add(target.callers(), kind.script(target.protocol(), i));
  clients.Run(kCrowdTimeout, [&] { peak.Sample(pid); });
  fmt::print("{} clients sent {} bytes; {} are still connected\n", kind.clients,
             clients.sent_bytes(), clients.open_count());
  // Unfinished clients stay connected meanwhile.
  const bool is_served = harness::WaitFor(kAnswerTimeout, [&] {
    peak.Sample(pid);
    return IsServed(target, kOrdinaryBody);
  });
  bool holds = Check(target.host().is_running(), "the process lives");
  holds &= Check(peak.private_kb <= limits.memory_mb * kKilobytesPerMegabyte,
                 fmt::format("private memory reached {} kB of {} MB",
                             peak.private_kb, limits.memory_mb));
  holds &= Check(peak.descriptors <= static_cast<std::size_t>(limits.max_fds),
                 fmt::format("descriptors reached {} of {}", peak.descriptors,
                             limits.max_fds));
  holds &= Check(is_served, "an ordinary request is answered with 200");
  return holds;
}

bool RunCalm(crowd_target& target) {
  return Check(IsServed(target, target.protocol().max_body),
               "the largest legal request is served at once");
}

int Run(const std::string& mode,
        const std::string& kind_name,
        const std::string& binary) {
  const bool is_entry = mode == "entry";
  // The crowd of each kind of body exceeds these several times.
  const host_limits limits = is_entry
                                 ? host_limits{.memory_mb = 32, .max_fds = 256}
                                 : host_limits{.memory_mb = 64, .max_fds = 512};
  const std::unique_ptr<crowd_target> target =
      is_entry ? StartEntry(binary, limits) : StartStandalone(limits);
  if (!harness::WaitFor(kStartTimeout,
                        [&] { return IsServed(*target, kOrdinaryBody); })) {
    fmt::print("BROKEN: the host does not serve after its start\n");
    return 1;
  }
  if (kind_name == "calm")
    return RunCalm(*target) ? 0 : 1;
  for (const crowd_kind& kind : Kinds())
    if (kind_name == kind.name)
      return RunCrowd(*target, kind, limits) ? 0 : 1;
  fmt::print("unknown kind {}\n", kind_name);
  return 2;
}

}  // namespace
}  // namespace dotterellead::crowd

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string mode;
  std::string kind;
  std::string binary;
  CLI::App app("Checks the bounds of one host against a crowd of clients.");
  app.add_option("--mode", mode)
      ->required()
      ->check(CLI::IsMember({"entry", "standalone"}));
  app.add_option("--kind", kind, "calm, or a kind of crowd_kinds.cc")
      ->required();
  app.add_option("--binary", binary, "the dotterellead program")->required();
  CLI11_PARSE(app, argc, argv);
  return dotterellead::crowd::Run(mode, kind, binary);
}
