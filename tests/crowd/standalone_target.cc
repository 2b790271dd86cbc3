#include <fmt/core.h>

#include <cstdlib>

#include "crowd_targets.h"

namespace dotterellead::crowd {

namespace {

class standalone_target : public crowd_target {
 public:
  explicit standalone_target(const host_limits& limits)
      : cluster_(Options(limits)) {
    cluster_.Start();
  }
  harness::child_process& host() override { return cluster_.entry_host(0); }
  socket_address callers() const override { return cluster_.caller_address(0); }
  target_protocol protocol() const override {
    return {[](std::size_t client) {
              return fmt::format(
                  "POST /pay/{} HTTP/1.1\r\nHost: h.example\r\n"
                  "Idempotency-Key: {}\r\n",
                  client, harness::MakeKey());
            },
            "", limits::kMaxBodyBytes, limits::kMaxHeaderBytes};
  }

 private:
  static harness::cluster_options Options(const host_limits& limits) {
    // Releases without these settings ignore them in the environment.
    setenv("DOTTERELLEAD_MEMORY_MB",
           fmt::format("{}", limits.memory_mb).c_str(), 1);
    setenv("DOTTERELLEAD_MAX_FDS", fmt::format("{}", limits.max_fds).c_str(),
           1);
    harness::cluster_options options;
    options.entry_hosts = 1;
    options.data_centres = {"a"};
    options.servers = {{.pool = "pay",
                        .data_centre = "a",
                        .count = 2,
                        .behaviour = R"({"service_us":2000})"}};
    options.log_folder = "out-crowd";
    return options;
  }

  harness::cluster cluster_;
};

}  // namespace

std::unique_ptr<crowd_target> StartStandalone(const host_limits& limits) {
  return std::make_unique<standalone_target>(limits);
}

}  // namespace dotterellead::crowd
