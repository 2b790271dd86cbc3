#include <fmt/core.h>

#include "dotterellead/proxy.h"

namespace dotterellead {
namespace {

std::string JsonText(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      out += '\\';
    if (static_cast<unsigned char>(c) < 0x20)
      out += fmt::format("\\u{:04x}", static_cast<int>(c));
    else
      out += c;
  }
  return out + '"';
}

}  // namespace

http_answer MakeOwnAnswer(int status,
                          run_state run,
                          std::string_view reason,
                          std::string_view problem,
                          std::string_view remedy) {
  http_answer answer;
  answer.status = status;
  answer.headers = {{"Content-Type", "application/json"},
                    {"dotterellead-run", std::string(to_string(run))}};
  if (status == 503)
    answer.headers.push_back({"Retry-After", "1"});
  answer.body =
      fmt::format("{{\"reason\":{},\"run\":{},\"problem\":{},\"remedy\":{}}}\n",
                  JsonText(reason), JsonText(to_string(run)), JsonText(problem),
                  JsonText(remedy));
  return answer;
}

}  // namespace dotterellead
