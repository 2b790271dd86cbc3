// What an entry host exchanges with its peers.
#include "entry_host_impl.h"
#include "peer_envelope.h"

namespace dotterellead {
namespace {

// A peer gives up on an answer after this time.
constexpr milliseconds kPeerAnswerWait{900};
constexpr char kNoResult[] = "{}";

time_point AnswerDeadline() {
  return std::chrono::steady_clock::now() + kPeerAnswerWait;
}

[[noreturn]] void FailBusy() {
  throw overloaded_error("this host is too busy to answer a peer",
                         "the peer asks again by itself");
}

}  // namespace

peer_methods entry_host::impl::PeerMethods() {
  return {
      {"gossip", [this](const std::string& p) { return AnswerGossip(p); }},
      {"config.fetch", [this](const std::string& p) { return AnswerFetch(p); }},
      {"balance",
       [this](const std::string& params) {
         const peer_envelope envelope = DecodeEnvelope(params);
         balance_.Post(balance_received{envelope.from,
                                        DecodeBalanceMessage(envelope.body)});
         return kNoResult;
       }},
      {"admission",
       [this](const std::string& params) {
         const peer_envelope envelope = DecodeEnvelope(params);
         DeliverSurely(admission_, admission_received{
                                       envelope.from,
                                       DecodeAdmissionMessage(envelope.body)});
         return kNoResult;
       }},
      {"evidence",
       [this](const std::string& params) {
         rollout_.Post(DecodePeerEvidence(params));
         return kNoResult;
       }},
      {"rollback",
       [this](const std::string& params) {
         DeliverSurely(rollout_, DecodePeerRollback(params));
         return kNoResult;
       }},
  };
}

std::string entry_host::impl::AnswerGossip(const std::string& params) {
  const request_id request(next_peer_call_.fetch_add(1));
  gossip_received received{request, DecodeDigest(params)};
  gossip_answers_.Expect(request);
  const time_point deadline = AnswerDeadline();
  const bool posted = membership_.PostUntil(std::move(received), deadline);
  const auto report =
      gossip_answers_.Await(request, posted ? deadline : time_point());
  if (!report)
    FailBusy();
  return EncodeReport(*report);
}

std::string entry_host::impl::AnswerFetch(const std::string& params) {
  const request_id request(next_peer_call_.fetch_add(1));
  const log_offset from = DecodeFetch(params);
  fetch_answers_.Expect(request);
  const time_point deadline = AnswerDeadline();
  const bool posted = config_.PostUntil(peer_fetch{request, from}, deadline);
  const auto state =
      fetch_answers_.Await(request, posted ? deadline : time_point());
  if (!state)
    FailBusy();
  return EncodePeerState(*state);
}

void entry_host::impl::TakeGossipReply(
    const std::string& address,
    time_point sent_at,
    const std::optional<std::string>& result) {
  try {
    if (result) {
      membership_.Post(
          gossip_response{address, sent_at, DecodeReport(*result)});
      return;
    }
  } catch (const protocol_error& e) {
    LogEvent(log_level::kWarning, "bad-gossip-reply",
             {{"address", address}, {"error", e.what()}});
  }
  membership_.Post(gossip_failed{address});
}

void entry_host::impl::TakeFetched(const std::optional<std::string>& result) {
  if (!result)
    return;
  try {
    std::visit([this](auto&& state) { DeliverSurely(config_, state); },
               DecodePeerState(*result));
  } catch (const protocol_error& e) {
    LogEvent(log_level::kWarning, "bad-peer-state", {{"error", e.what()}});
  }
}

void entry_host::impl::SendTo(const member_id& to,
                              const std::string& method,
                              std::string params) {
  const std::optional<std::string> address = directory_.AddressOf(to);
  if (!address || !links_.Send(*address, method, std::move(params))) {
    LogEvent(log_level::kDebug, "peer-message-dropped",
             {{"to", to.value()}, {"method", method}});
  }
}

void entry_host::impl::SendToAll(const std::string& method,
                                 const std::string& params,
                                 peer_connections::merge policy) {
  for (const live_peer& peer : directory_.Live())
    links_.Send(peer.run.address, method, params, policy);
}

}  // namespace dotterellead
