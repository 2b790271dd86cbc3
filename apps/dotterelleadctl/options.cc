#include "options.h"

#include <CLI/CLI.hpp>
#include <cstdlib>

namespace dotterellead {
namespace {

constexpr char kFooter[] =
    "The operators' secret comes from DOTTERELLEAD_OPERATOR_SECRET.\n\n"
    "Exit codes: 0 ok, 1 unexpected error, 2 wrong usage, 3 invalid resource,\n"
    "4 conflict, 5 not found, 6 unavailable (nothing was written),\n"
    "7 outcome of a write unknown, 8 not in force in time.";

void DeclareApply(CLI::App& app, options& o) {
  CLI::App* apply =
      app.add_subcommand("apply", "Write resources from a file, in order");
  apply
      ->add_option(
          "-f,--file", o.file,
          "One JSON resource per line, or a JSON array; - for standard "
          "input")
      ->required();
  apply->add_option("--revision", o.revision,
                    "Write only if this is the present revision; none: only if "
                    "the resource does not exist");
  apply->add_flag("--dry-run", o.dry_run, "Check only, write nothing");
  apply
      ->add_option("--wait-in-force", o.wait_in_force_seconds,
                   "Wait until in force on every live host, in seconds")
      ->check(CLI::Range(1, 3600));
}

void DeclareDelete(CLI::App& app, options& o) {
  CLI::App* remove = app.add_subcommand("delete", "Remove one resource");
  remove->add_option("kind", o.kind)->required();
  remove->add_option("name", o.name)->required();
  remove->add_option("--revision", o.revision,
                     "Remove only if this is the present revision");
  remove->add_flag("--dry-run", o.dry_run, "Check only, remove nothing");
}

void DeclareReads(CLI::App& app, options& o) {
  CLI::App* get = app.add_subcommand("get", "Print one resource");
  get->add_option("kind", o.kind)->required();
  get->add_option("name", o.name)->required();
  app.add_subcommand("list", "Print all resources of a kind")
      ->add_option("kind", o.kind)
      ->required();
  CLI::App* watch = app.add_subcommand("watch", "Print changes as they come");
  watch->add_option("--from", o.from, "First offset to print");
  watch->add_option("--rounds", o.rounds, "End after so many answers");
  app.add_subcommand("status", "Print hosts, resources and moves");
  CLI::App* explain =
      app.add_subcommand("explain", "Print why servers get or do not get work");
  auto* server = explain->add_option("--server", o.server, "IP:port");
  explain->add_option("--pool", o.pool, "Name of a pool")->excludes(server);
}

socket_address ParseHost(const std::string& text) {
  try {
    return ParseSocketAddress(text);
  } catch (const invalid_input_error& e) {
    throw invalid_setting_error("--host: " + e.problem(), e.remedy());
  }
}

std::string ReadSecret() {
  const char* value = std::getenv("DOTTERELLEAD_OPERATOR_SECRET");
  if (value == nullptr || *value == '\0') {
    throw invalid_setting_error("DOTTERELLEAD_OPERATOR_SECRET is not set",
                                "set it in the environment");
  }
  return value;
}

}  // namespace

std::optional<options> ParseOptions(int argc, char** argv, exit_code& code) {
  CLI::App app("Operators' command line of dotterellead", "dotterelleadctl");
  options o;
  std::vector<std::string> hosts;
  std::string format = "table";
  app.add_option("--host", hosts,
                 "IP:port of an entry host's operator listener; several are "
                 "tried in turn")
      ->delimiter(',')
      ->envname("DOTTERELLEAD_HOSTS")
      ->required();
  app.add_option("-o,--output", format, "table or json")
      ->check(CLI::IsMember({"table", "json"}));
  app.require_subcommand(1);
  app.fallthrough();
  app.footer(kFooter);
  DeclareApply(app, o);
  DeclareDelete(app, o);
  DeclareReads(app, o);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    code = app.exit(e) == 0 ? exit_code::kOk : exit_code::kUsage;
    return std::nullopt;
  }
  for (const std::string& host : hosts)
    o.hosts.push_back(ParseHost(host));
  o.json = format == "json";
  o.command = app.get_subcommands().front()->get_name();
  o.secret = ReadSecret();
  return o;
}

}  // namespace dotterellead
