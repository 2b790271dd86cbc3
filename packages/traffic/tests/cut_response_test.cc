// Servers that close their connection in the middle of a response.
#include <doctest/doctest.h>

#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

namespace {

struct cut_case {
  const char* name;
  // What precedes the response.
  std::string interim;
  std::string framing;
  std::string body;
  // The end of the connection ends the body.
  bool ends_with_connection = false;

  std::string Header() const {
    return interim + "HTTP/1.1 200 OK\r\nReq-Id: 17\r\nProof: p\r\n" + framing +
           "Own: 1\r\n\r\n";
  }
};

std::vector<cut_case> CutCases() {
  const std::string chunks = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  return {
      {"a length", "", "Content-Length: 5\r\n", "abcde"},
      {"an empty body", "", "Content-Length: 0\r\n", ""},
      {"chunks", "", "Transfer-Encoding: chunked\r\n", chunks},
      {"the end of the connection", "", "", "abcde", true},
      {"100 before it", "HTTP/1.1 100 Continue\r\n\r\n",
       "Content-Length: 5\r\n", "abcde"},
      {"103 before it", "HTTP/1.1 103 Early Hints\r\nOwn: 2\r\n\r\n", "", "",
       true},
      {"another response before it",
       "HTTP/1.1 200 OK\r\nReq-Id: 9\r\nProof: p\r\nContent-Length: 1\r\n\r\nx",
       "Content-Length: 5\r\n", "abcde"},
  };
}

}  // namespace

// Guards against a 200 with an empty or short body that looks whole.
TEST_CASE("a response cut at any byte never becomes a success") {
  for (const bool is_kept : {false, true}) {
    for (const cut_case& c : CutCases()) {
      const std::string whole = c.Header() + c.body;
      const std::size_t cuts =
          c.ends_with_connection ? c.Header().size() : whole.size();
      std::size_t cut = 0;
      const loopback_server server(
          kServerPort, [&](const std::string& request) {
            return Has(request, "/cut")
                       ? whole.substr(0, cut) + std::string(kCut)
                       : ServerResponse(request);
          });
      REQUIRE(server.ok());
      traffic_fixture w;
      for (cut = 1; cut < cuts; ++cut) {
        CAPTURE(c.name);
        CAPTURE(is_kept);
        CAPTURE(cut);
        if (is_kept)
          CHECK(w.Send(Get()).starts_with("HTTP/1.1 200"));
        CHECK(w.Send(Get("", "/cut")).starts_with("HTTP/1.1 502"));
      }
      CHECK(w.service.counters().buffered_response_bytes == 0);
      CHECK(std::count(w.results.begin(), w.results.end(),
                       dispatch::attempt_result::kResponded) ==
            (is_kept ? static_cast<std::ptrdiff_t>(cuts - 1) : 0));
    }
  }
}
