#include <csignal>
#include <iostream>

#include "commands.h"

namespace {

int Report(const std::exception& e, dotterellead::exit_code code) {
  std::cerr << e.what() << "\n";
  return static_cast<int>(code);
}

}  // namespace

int main(int argc, char** argv) {
  using namespace dotterellead;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    exit_code code = exit_code::kOk;
    const std::optional<options> o = ParseOptions(argc, argv, code);
    if (!o)
      return static_cast<int>(code);
    return static_cast<int>(commands(*o, std::cout, std::cerr).Run());
  } catch (const invalid_setting_error& e) {
    return Report(e, exit_code::kUsage);
  } catch (const invalid_input_error& e) {
    return Report(e, exit_code::kInvalid);
  } catch (const std::exception& e) {
    return Report(e, exit_code::kUnexpected);
  }
}
