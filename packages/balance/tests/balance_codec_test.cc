#include <doctest/doctest.h>

#include "dotterellead/balance.h"

namespace dotterellead {
namespace {

const lease_ref sample_lease{server_id("10.0.0.1:80"), slot_index(1),
                             1'764'846'000'001};

const std::vector<balance_peer_message>& Samples() {
  static const std::vector<balance_peer_message> samples = {
      slot_request{incarnation_id(5), 1, pool_id("p"), version_id(), 3, 2},
      slot_grant{incarnation_id(5),
                 1,
                 epoch_number(2),
                 pool_id("p"),
                 version_id("v2"),
                 {{sample_lease, milliseconds(400), true, 9}},
                 4,
                 0},
      slot_recall{{sample_lease}, 1, true},
      slot_return{{sample_lease, sample_lease}},
      renewal{incarnation_id(5), 2, {{sample_lease, true}}},
      renewed{incarnation_id(5),
              2,
              {sample_lease},
              {{sample_lease.server, 7}},
              {{pool_id("p"), 4}}},
      server_observation{sample_lease.server, true, false, 7},
      server_state_update{sample_lease.server, true, true, 8},
      handover_offer{epoch_number(3), {sample_lease.server}},
      handover_accept{
          epoch_number(3), incarnation_id(6), {sample_lease.server}},
      handover{epoch_number(3),
               incarnation_id(6),
               {{sample_lease.server,
                 12,
                 true,
                 false,
                 8,
                 {{slot_index(0), member_id("a"), 11, milliseconds(-30),
                   milliseconds(400)}}}}},
  };
  return samples;
}

// Guards against a field that encoding or decoding loses or changes.
TEST_CASE("decoding an encoded message gives the same message") {
  CHECK(Samples().size() == std::variant_size_v<balance_peer_message>);
  for (const balance_peer_message& m : Samples()) {
    const std::string text = EncodeBalanceMessage(m);
    CAPTURE(text);
    CHECK(DecodeBalanceMessage(text) == m);
  }
}

// Guards against a crash or a partial message on damaged input.
TEST_CASE("damaged messages are rejected") {
  for (const balance_peer_message& m : Samples()) {
    const std::string text = EncodeBalanceMessage(m);
    for (std::size_t length = 0; length < text.size(); ++length)
      CHECK_THROWS_AS(DecodeBalanceMessage(text.substr(0, length)),
                      protocol_error);
  }
  for (const char* text :
       {"[]", "{}", R"({"t":"z"})", R"({"t":"r"})", R"({"t":"r","l":[[1]]})",
        R"({"t":"r","l":[],"x":1})", R"({"t":"r","l":[["a",-1,2]]})",
        R"({"t":"r","l":[["a",1,1.5]]})", R"({"t":"c","l":[],"h":0,"m":2})"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(DecodeBalanceMessage(text), protocol_error);
  }
}

}  // namespace
}  // namespace dotterellead
