// Disconnects callers before their response, on each path of a request, and
// checks that no server receives their requests later, and that servers can
// detect it.
#include <fmt/core.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <map>

#include "entry_environment.h"

namespace dotterellead::disconnects {
namespace {

// The operators' bounds: no request reaches a server later than this after the
// close, and at most one in so many is still worked on.
constexpr milliseconds kBound{500};
constexpr int kMaxWorkedOnPart = 4;

constexpr milliseconds kConnectedTime{150};
constexpr milliseconds kMaxSetupTime{800};

enum class ending { kClose, kSendingSide, kReset };

// A group of callers that disconnect.
struct disconnect_case {
  const char* name;
  int callers = 1;
  // On each connection, one behind the other.
  int requests = 1;
  const char* method = "GET";
  const char* path = "/wide/usual/";
  std::size_t body = 0;
  // Of the bytes, the last so many are not sent.
  std::size_t unsent = 0;
  // The body is sent in chunks.
  bool is_chunked = false;
  ending how = ending::kClose;
  // Runs at servers when the callers disconnect.
  int runs = 1;
  // Callers that stay connected, and occupy one of the two narrow slots each.
  int holders = 0;
  // Callers that connect right after the others disconnected.
  int successors = 0;
  // Quick requests that come first.
  int warm_up = 0;
  // Their closes reach the host together.
  bool is_at_once = false;
};

std::vector<disconnect_case> Cases() {
  constexpr int kMany = 400;
  // A busy host may turn some away.
  constexpr int kMostOfMany = kMany * 9 / 10;
  return {
      {.name = "first", .callers = 12, .runs = 12},
      {.name = "half-close",
       .callers = 12,
       .how = ending::kSendingSide,
       .runs = 12},
      {.name = "reset", .callers = 12, .how = ending::kReset, .runs = 12},
      {.name = "ahead", .callers = 24, .requests = 3, .runs = 24},
      {.name = "ahead-reset",
       .callers = 12,
       .requests = 3,
       .how = ending::kReset,
       .runs = 12},
      {.name = "ahead-beyond-buffer",
       .callers = 12,
       .requests = 20,
       .method = "PUT",
       .body = 4'000,
       .runs = 12},
      {.name = "queued",
       .callers = 12,
       .path = "/narrow/usual/",
       .runs = 0,
       .holders = 2},
      {.name = "queued-once",
       .callers = 12,
       .method = "POST",
       .path = "/once/usual/",
       .runs = 0,
       .holders = 2},
      {.name = "retried", .callers = 12, .path = "/wide/retry/", .runs = 24},
      {.name = "waits-for-retry",
       .callers = 12,
       .path = "/narrow/retry/",
       .runs = 1,
       .holders = 1},
      {.name = "hedged",
       .callers = 6,
       .path = "/hedged/usual/",
       .runs = 12,
       .warm_up = 40},
      {.name = "upload",
       .callers = 6,
       .method = "PUT",
       .body = 900'000,
       .runs = 6},
      {.name = "upload-chunked",
       .callers = 6,
       .method = "PUT",
       .body = 900'000,
       .is_chunked = true,
       .runs = 6},
      {.name = "upload-unread",
       .callers = 6,
       .method = "PUT",
       .path = "/wide/unread/",
       .body = 900'000,
       .runs = 6},
      {.name = "upload-unfinished",
       .callers = 6,
       .method = "PUT",
       .body = 900'000,
       .unsent = 10'000,
       .runs = 0},
      {.name = "stream", .callers = 12, .path = "/wide/stream/", .runs = 12},
      {.name = "replaced",
       .callers = 2,
       .path = "/narrow/usual/",
       .runs = 2,
       .successors = 6},
      {.name = "many",
       .callers = kMany,
       .path = "/wide/long/",
       .runs = kMostOfMany,
       .is_at_once = true},
      {.name = "many-ahead",
       .callers = kMany,
       .requests = 3,
       .path = "/wide/long/",
       .runs = kMostOfMany,
       .is_at_once = true},
      {.name = "many-reset",
       .callers = kMany,
       .path = "/wide/long/",
       .how = ending::kReset,
       .runs = kMostOfMany,
       .is_at_once = true},
  };
}

std::string IdOf(const disconnect_case& c, int caller, int request) {
  return fmt::format("{}-{}-{}", c.name, caller, request);
}

void Disconnect(int fd, ending how) {
  const linger reset{1, 0};
  if (how == ending::kReset)
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  if (how == ending::kSendingSide)
    shutdown(fd, SHUT_WR);
  else
    close(fd);
}

long Milliseconds(time_point from, time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

// The servers' side of one case.
struct outcome {
  int runs_at_close = 0;
  int late = 0;
  // Of the runs that would have lasted longer than kBound after the close: in
  // all, with a connection that was still open then, and worked on then.
  int would_last = 0;
  int unseen = 0;
  int worked_on = 0;
  long latest_close_ms = 0;
  // A server worked on more requests than it has slots, those of callers that
  // had disconnected included.
  bool has_exceeded_slots = false;
};

class case_runner {
 public:
  case_runner(entry_environment& environment, bool prints_trace)
      : environment_(environment), prints_trace_(prints_trace) {}

  outcome Run(const disconnect_case& c) {
    disconnected_at_.clear();
    WarmUp(c);
    std::vector<int> holders;
    holders.reserve(static_cast<std::size_t>(c.holders));
    for (int i = 0; i < c.holders; ++i)
      holders.push_back(Hold(c, "holder", i));
    if (c.holders > 0)
      std::this_thread::sleep_for(kConnectedTime);
    const std::size_t first_run = environment_.log().runs().size();
    std::vector<int> callers;
    callers.reserve(static_cast<std::size_t>(c.callers));
    for (int i = 0; i < c.callers; ++i) {
      callers.push_back(environment_.Connect(BytesOf(c, i)));
      // Lets the host place all requests.
      if (c.is_at_once)
        std::this_thread::sleep_for(milliseconds(1));
    }
    std::this_thread::sleep_for(kConnectedTime);
    // A host beside other processes may need longer.
    harness::WaitFor(kMaxSetupTime, [&] {
      return environment_.log().runs().size() >=
             first_run + static_cast<std::size_t>(c.runs);
    });
    // While the host is stopped, the closes wait for it together.
    if (c.is_at_once)
      environment_.host().Signal(SIGSTOP);
    for (int i = 0; i < c.callers; ++i) {
      disconnected_at_[i] = std::chrono::steady_clock::now();
      Disconnect(callers[static_cast<std::size_t>(i)], c.how);
    }
    if (c.is_at_once)
      environment_.host().Signal(SIGCONT);
    for (int i = 0; i < c.successors; ++i)
      holders.push_back(Hold(c, "successor", i));
    // Until the last request would have ended.
    std::this_thread::sleep_for(
        (c.is_at_once ? kLongWorkTime : kWorkTime * c.requests) + kBound);
    for (const int fd : holders)
      close(fd);
    if (c.how == ending::kSendingSide)
      for (const int fd : callers)
        close(fd);
    return Evaluate(c);
  }

 private:
  void WarmUp(const disconnect_case& c) const {
    std::string bytes;
    for (int i = 0; i < c.warm_up; ++i)
      bytes += Request("GET", "/hedged/quick/", fmt::format("warm-{}", i));
    if (c.warm_up == 0)
      return;
    const int fd = environment_.Connect(bytes);
    std::this_thread::sleep_for(kWorkTime);
    close(fd);
  }

  int Hold(const disconnect_case& c, const char* kind, int number) const {
    return environment_.Connect(
        Request("GET", "/narrow/usual/",
                fmt::format("{}-{}-{}", kind, c.name, number)));
  }

  static std::string BytesOf(const disconnect_case& c, int caller) {
    std::string bytes;
    for (int i = 0; i < c.requests; ++i)
      bytes +=
          Request(c.method, c.path, IdOf(c, caller, i), c.body, c.is_chunked);
    bytes.resize(bytes.size() - c.unsent);
    return bytes;
  }

  outcome Evaluate(const disconnect_case& c) const {
    outcome o;
    o.has_exceeded_slots = environment_.has_exceeded_slots();
    for (const server_run& run : environment_.log().runs())
      for (int caller = 0; caller < c.callers; ++caller)
        for (int i = 0; i < c.requests; ++i)
          if (run.id == IdOf(c, caller, i))
            Count(run, disconnected_at_.at(caller), o);
    return o;
  }

  void Count(const server_run& run, time_point disconnected, outcome& o) const {
    const time_point bound = disconnected + kBound;
    o.runs_at_close += run.arrived <= disconnected ? 1 : 0;
    o.late += run.arrived > bound ? 1 : 0;
    const bool would_last = run.arrived <= disconnected &&
                            run.arrived + run.work > bound &&
                            !(run.ended && *run.ended <= disconnected);
    const bool is_unseen = !run.closed || *run.closed > bound;
    o.would_last += would_last ? 1 : 0;
    o.unseen += would_last && is_unseen ? 1 : 0;
    o.worked_on += would_last && (!run.ended || *run.ended > bound) ? 1 : 0;
    if (would_last && run.closed)
      o.latest_close_ms =
          std::max(o.latest_close_ms, Milliseconds(disconnected, *run.closed));
    if (prints_trace_)
      fmt::print(
          "  {}: at {} from {} ms after its caller's close, connection closed "
          "after {} ms, worked on until {} ms\n",
          run.id, run.server, Milliseconds(disconnected, run.arrived),
          run.closed ? std::to_string(Milliseconds(disconnected, *run.closed))
                     : "-",
          run.ended ? std::to_string(Milliseconds(disconnected, *run.ended))
                    : "-");
  }

  entry_environment& environment_;
  const bool prints_trace_;
  std::map<int, time_point> disconnected_at_;
};

// Whether the case was set up as intended, and all bounds hold. For servers
// that ignore their connections the time counts at which they could have
// detected the close.
bool Check(const disconnect_case& c,
           const outcome& o,
           bool servers_drop_at_close) {
  const int worked_on = servers_drop_at_close ? o.worked_on : o.unseen;
  const bool holds = o.runs_at_close >= c.runs && o.late == 0 &&
                     worked_on * kMaxWorkedOnPart <= o.would_last &&
                     !o.has_exceeded_slots;
  fmt::print(
      "{}: {}: {} runs at the close, {} expected; {} reached a server later "
      "than {} ms; of {} that would have lasted so long, {} had an open "
      "connection then, {} were worked on; last close seen after {} ms{}\n",
      holds ? "holds" : "BROKEN", c.name, o.runs_at_close, c.runs, o.late,
      kBound.count(), o.would_last, o.unseen, o.worked_on, o.latest_close_ms,
      o.has_exceeded_slots ? "; slots were exceeded" : "");
  return holds;
}

int RunAll(const std::string& binary,
           const std::string& only,
           bool servers_drop_at_close,
           bool prints_trace) {
  entry_environment environment(binary, servers_drop_at_close);
  if (!environment.AwaitServing()) {
    fmt::print("BROKEN: the host does not serve after its start\n");
    return 1;
  }
  case_runner runner(environment, prints_trace);
  bool holds = true;
  bool is_known = false;
  for (const disconnect_case& c : Cases()) {
    if (!only.empty() && only != c.name)
      continue;
    is_known = true;
    holds &= Check(c, runner.Run(c), servers_drop_at_close);
  }
  if (!is_known)
    fmt::print("unknown case {}\n", only);
  return holds && is_known ? 0 : 1;
}

}  // namespace
}  // namespace dotterellead::disconnects

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string binary;
  std::string only;
  std::string servers = "watching";
  bool prints_trace = false;
  CLI::App app("Checks what servers do after callers disconnected.");
  app.add_option("--binary", binary, "the dotterellead program")->required();
  app.add_option("--case", only, "plays this case alone");
  app.add_option("--servers", servers,
                 "watching: they drop a request whose connection closes; "
                 "ignoring: they do not check it during their work")
      ->check(CLI::IsMember({"watching", "ignoring"}));
  app.add_flag("--trace", prints_trace, "prints each run at a server");
  CLI11_PARSE(app, argc, argv);
  return dotterellead::disconnects::RunAll(binary, only, servers == "watching",
                                           prints_trace);
}
