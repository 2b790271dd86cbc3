// Runs one seed of the fault soak; see docs/soak.md.
#include <fmt/core.h>

#include <CLI/CLI.hpp>
#include <csignal>

#include "soak_world.h"

int main(int argc, char** argv) {
  using namespace dotterellead::soak;
  std::signal(SIGPIPE, SIG_IGN);
  soak_settings settings;
  CLI::App app("Runs entry hosts under faults and checks their promises.");
  app.add_option("--binary", settings.binary, "the dotterellead program")
      ->required();
  app.add_option("--seed", settings.seed, "decides the faults");
  app.add_option("--seconds", settings.seconds,
                 "length, at least 16; faults come from 2.5 s until 9.5 s "
                 "before the end")
      ->check(CLI::Range(16, 600));
  app.add_option("--hosts", settings.hosts)->check(CLI::Range(1, 150));
  app.add_option("--servers", settings.servers)->check(CLI::Range(4, 200));
  app.add_option("--calls", settings.calls_per_second, "calls a second")
      ->check(CLI::Range(1.0, 1'000.0));
  app.add_option("--first-port", settings.first_port)
      ->check(CLI::Range(1'024, 60'000));
  app.add_option("--logs", settings.log_folder, "folder for the hosts' logs");
  app.add_option("--repeat-slack", settings.repeat_allowance,
                 "repeats allowed in 10 s beyond the ratio, over all hosts")
      ->check(CLI::Range(1.0, 1'000.0));
  app.add_flag("--shedding", settings.is_shedding,
               "servers reject most requests, as under overload");
  app.add_flag("--planned", settings.is_planned,
               "stops, reloads and changes only");
  app.add_flag("--calm", settings.is_calm, "no faults; prints costs");
  CLI11_PARSE(app, argc, argv);
  soak_world world(settings);
  const violations broken = world.Run();
  for (const std::string& v : broken)
    fmt::print("BROKEN: {}\n", v);
  return broken.empty() ? 0 : 1;
}
