// Servers that write an earlier rejection once more on a kept connection.
#include <doctest/doctest.h>

#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

namespace {

struct repeat_case {
  const char* name;
  const char* status;
  // Whether the rejection has the id of the request that it was for.
  bool has_id;
  // Where the copy comes: after the rejection, before the answer to the next
  // request, or in its place.
  enum class position { kAfterFirst, kBeforeAnswer, kInsteadOfAnswer } at;
};

std::string Rejection(const repeat_case& c) {
  return std::string("HTTP/1.1 ") + c.status + "\r\n" +
         (c.has_id ? "Req-Id: first\r\n" : "") +
         "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string Post(const std::string& id) {
  return "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nReq-Id: " + id +
         "\r\nContent-Length: 1\r\n\r\nx";
}

}  // namespace

// Guards against "not run" said of a request that a server has run or is
// running.
TEST_CASE("a repeated rejection says nothing of the next request") {
  using position = repeat_case::position;
  for (const char* status : {"503 Full", "429 Later", "421 Other", "408 Late"})
    for (const bool has_id : {true, false})
      for (const position at : {position::kAfterFirst, position::kBeforeAnswer,
                                position::kInsteadOfAnswer}) {
        const repeat_case c{status, status, has_id, at};
        CAPTURE(std::string(status));
        CAPTURE(has_id);
        CAPTURE(static_cast<int>(at));
        std::atomic<int> runs = 0;
        loopback_server server(kServerPort, [&](const std::string& r) {
          std::string copy = Rejection(c);
          if (Has(r, "Req-Id: first"))
            return at == position::kAfterFirst ? copy + copy : copy;
          ++runs;
          if (at == position::kInsteadOfAnswer)
            return copy;
          return (at == position::kBeforeAnswer ? copy : "") +
                 ServerResponse(r);
        });
        traffic_fixture w;
        w.Send(Post("first"));
        const std::string got = w.Send(Post("second"));
        CHECK(runs == 1);
        REQUIRE(w.results.size() == 2);
        CHECK(w.results[1] != dispatch::attempt_result::kNotRun);
        CHECK(w.results[1] != dispatch::attempt_result::kWrongServer);
        // The answer, or one that promises nothing.
        const bool is_true =
            Has(got, "HTTP/1.1 200") || Has(got, "HTTP/1.1 502");
        CHECK(is_true);
      }
}
