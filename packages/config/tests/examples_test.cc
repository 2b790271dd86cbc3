#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include "dotterellead/config.h"

namespace dotterellead {
namespace {

// Guards against example files that the program rejects.
TEST_CASE("every resource in examples/ is valid") {
  std::size_t parsed = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(DOTTERELLEAD_EXAMPLES)) {
    CAPTURE(file.path().string());
    std::ifstream in(file.path());
    for (std::string line; std::getline(in, line); ++parsed)
      CHECK_NOTHROW(ParseResource(line));
  }
  CHECK(parsed >= 9);
}

}  // namespace
}  // namespace dotterellead
