// What an entry host does with the effects of its duties.
#include <algorithm>

#include "entry_host_impl.h"
#include "peer_envelope.h"

namespace dotterellead {
namespace {

constexpr milliseconds kHostListTimeout{500};

}  // namespace

// ---- Balance

void entry_host::impl::Carry(assigned& e) {
  slots_.Deliver(e);
}

void entry_host::impl::Carry(forwarded& e) {
  slots_.Deliver(e);
}

void entry_host::impl::Carry(acquire_rejected& e) {
  slots_.Deliver(e);
}

void entry_host::impl::Carry(home_load_changed& e) {
  slots_.SetLoad(e);
}

void entry_host::impl::Carry(send_to_peer& e) {
  SendTo(e.to, "balance",
         EncodeEnvelope({self_.id, EncodeBalanceMessage(e.body)}));
}

void entry_host::impl::Carry(balance_report& e) {
  PostHomedServers(e);
  PostCapacity(e);
  slots_.SetLent(e);
  state_.SetBalance(std::move(e));
}

void entry_host::impl::PostHomedServers(const balance_report& report) {
  const config_snapshot config = state_.Serving();
  const time_point now = clock_.Now().steady;
  std::map<server_id, time_point> since;
  servers_homed_here homed;
  for (const server_balance& server : report.servers) {
    const auto pool = config->pools.find(server.pool);
    if (!server.is_granting || pool == config->pools.end())
      continue;
    const auto known = home_since_.find(server.server);
    since[server.server] = known == home_since_.end() ? now : known->second;
    homed.servers.push_back(
        {.server = server.server,
         .pool = server.pool,
         .slots = server.slots,
         .budget_per_mille = pool->second.spec.probe_budget_per_mille,
         .homed_since = since[server.server]});
  }
  home_since_ = std::move(since);
  measure_.PostOrReplace(std::move(homed));
}

void entry_host::impl::PostCapacity(const balance_report& report) {
  const config_snapshot config = state_.Serving();
  std::map<server_id, const server_balance*> states;
  for (const server_balance& server : report.servers)
    states[server.server] = &server;
  for (const auto& [name, pool] : config->pools) {
    version_capacity capacity{.pool = name, .usable_slots = {}};
    for (const server_spec& server : pool.spec.servers) {
      const auto it = states.find(server.address);
      const bool out = config->IsOutOfService(server.data_centre);
      if (it == states.end() || it->second->draining || out)
        continue;
      capacity.usable_slots[server.version] +=
          it->second->cold ? server.cold_slots : server.slots;
    }
    rollout_.Post(std::move(capacity));
  }
}

// ---- Membership

void entry_host::impl::Carry(send_gossip& e) {
  const std::string address = e.address;
  const time_point sent_at = e.sent_at;
  auto done = [this, address,
               sent_at](const std::optional<std::string>& result) {
    TakeGossipReply(address, sent_at, result);
  };
  if (!links_.Call(address, "gossip", EncodeDigest(e.digest), done,
                   peer_connections::merge::kReplaceUnsent))
    membership_.Post(gossip_failed{address});
}

void entry_host::impl::Carry(respond_to_gossip& e) {
  gossip_answers_.Complete(e.request, e.report);
}

void entry_host::impl::Carry(epoch_changed& e) {
  state_.SetEpoch(e);
  homes_changed homes{.epoch = e.name.number, .members = {}};
  for (const member_run& member : e.members)
    homes.members.push_back({member.id, member.data_centre});
  DeliverSurely(balance_, std::move(homes));
  LogEvent(log_level::kInfo, "epoch",
           {{"number", std::to_string(e.name.number.value())},
            {"members", std::to_string(e.members.size())}});
  PostLiveMembers();
}

void entry_host::impl::Carry(grant_right& e) {
  DeliverSurely(
      balance_,
      grant_right_changed{
          .epoch = e.epoch,
          .may_grant_until = e.may_grant ? e.valid_until : time_point(),
          .earlier_grants_end_at = e.earlier_epochs_ended_at});
}

void entry_host::impl::Carry(peers_changed& e) {
  directory_.Set(std::move(e.peers));
  PostLiveMembers();
}

void entry_host::impl::Carry(peer_lost& e) {
  LogEvent(log_level::kWarning, "peer-lost", {{"member", e.run.id.value()}});
  housekeeping_.Post(e);
}

void entry_host::impl::PostLiveMembers() {
  const std::vector<live_peer> peers = directory_.Live();
  live_members claims{.members = {{self_.id, incarnation_}},
                      .hosts = peers.size() + 1};
  rollout_peers_changed rollout{{self_.id}};
  admission_peers_changed admission{.self = self_.id, .peers = {}};
  lowest_member lowest{.is_self = true};
  peer_offsets offsets;
  for (const live_peer& peer : peers) {
    claims.members.push_back({peer.run.id, peer.run.incarnation});
    rollout.live.push_back(peer.run.id);
    admission.peers.push_back(peer.run.id);
    lowest.is_self = lowest.is_self && self_.id < peer.run.id;
    if (peer.config_offset.is_valid() &&
        (!offsets.highest.is_valid() || offsets.highest < peer.config_offset)) {
      offsets = {peer.config_offset, peer.run.address};
    }
  }
  admission.has_majority =
      2 * (peers.size() + 1) > state_.Epoch().members.size();
  DeliverSurely(claims_, std::move(claims));
  DeliverSurely(rollout_, std::move(rollout));
  DeliverSurely(admission_, std::move(admission));
  DeliverSurely(config_, lowest);
  if (offsets.highest.is_valid())
    DeliverSurely(config_, std::move(offsets));
}

// ---- Config

void entry_host::impl::Carry(append_request& e) {
  stream_access& stream =
      e.stream == config_stream_->stream() ? *config_stream_ : *members_stream_;
  stream.Append(std::move(e));
}

void entry_host::impl::Carry(config_published& e) {
  feed_.Publish(e);
  DeliverSurely(drain_, declared_config{e.view});
  DeliverSurely(membership_, config_offset_changed{e.view->through});
  DeliverSurely(rollout_, rollout_config_changed{e.view});
}

void entry_host::impl::Carry(write_result& e) {
  view_.Deliver(e);
}

void entry_host::impl::Carry(set_tail_offset& e) {
  config_stream_->ReadFrom(e.from);
}

void entry_host::impl::Carry(fetch_from_peer& e) {
  links_.Call(e.address, "config.fetch", EncodeFetch(e.from),
              [this](const std::optional<std::string>& result) {
                TakeFetched(result);
              });
}

void entry_host::impl::Carry(peer_answer& e) {
  fetch_answers_.Complete(e.request, std::move(e.state));
}

void entry_host::impl::Carry(log_readable_changed& e) {
  state_.log_readable = e.readable;
  LogEvent(log_level::kInfo, "log", {{"readable", e.readable ? "yes" : "no"}});
  DeliverSurely(rollout_, rollout_log_changed{e.readable});
}

// ---- Idempotency

void entry_host::impl::Carry(claim_result& e) {
  claims_adapter_.Deliver(e);
}

void entry_host::impl::Carry(claim_finished& e) {
  claims_adapter_.Deliver(e);
}

void entry_host::impl::Carry(append_claim_records& e) {
  claim_streams_[e.shard.value()]->Append(EncodeClaimAppend(e));
}

void entry_host::impl::Carry(set_claim_tail& e) {
  claim_streams_[e.shard.value()]->ReadFrom(e.offset);
}

// ---- Rollout

void entry_host::impl::Carry(propose_step& e) {
  config_.Post(propose_move_step{e.move, e.revision, e.from_step, e.progress});
  LogEvent(log_level::kInfo, "move-step-proposed",
           {{"move", e.move.value()},
            {"share_per_mille", std::to_string(e.progress.share_per_mille)},
            {"verdict", std::string(to_string(e.progress.verdict))},
            {"reason", e.progress.reason}});
}

void entry_host::impl::Carry(share_changed& e) {
  versions_.Set(e.pool, e.shares);
}

void entry_host::impl::Carry(evidence_to_peers& e) {
  SendToAll("evidence", EncodePeerEvidence(e.evidence),
            peer_connections::merge::kReplaceUnsent);
}

void entry_host::impl::Carry(rolled_back_to_peers& e) {
  SendToAll("rollback", EncodePeerRollback(e.rollback),
            peer_connections::merge::kNone);
}

// ---- Admission

void entry_host::impl::Carry(begin_decision& e) {
  admission_adapter_.Deliver(e.request, e.allowed);
}

void entry_host::impl::Carry(retry_decision& e) {
  metrics_.Count(counter_family::kRetries, e.allowed ? "allowed" : "denied");
  admission_adapter_.Deliver(e.request, e.allowed);
}

void entry_host::impl::Carry(crash_decision& e) {
  admission_adapter_.Deliver(e.request, e.may_retry);
}

void entry_host::impl::Carry(mark_struck& e) {
  admission_adapter_.Mark(e.fingerprint);
}

void entry_host::impl::Carry(unmark_struck& e) {
  admission_adapter_.Unmark(e.fingerprint);
}

void entry_host::impl::Carry(admission_send& e) {
  const std::string text =
      EncodeEnvelope({self_.id, EncodeAdmissionMessage(e.message)});
  for (const member_id& to : e.to)
    SendTo(to, "admission", text);
}

void entry_host::impl::Carry(admission_event& e) {
  metrics_.Count(counter_family::kStrikes, e.kind);
  LogEvent(log_level::kWarning, "crashing-request",
           {{"kind", std::string(e.kind)},
            {"fingerprint", std::to_string(e.fingerprint.value())}});
}

// ---- Measure

void entry_host::impl::Carry(send_probe& e) {
  if (!probing_.Post(e))
    measure_.Post(probe_completed{.server = e.server});
}

void entry_host::impl::Carry(load_estimate& e) {
  balance_.Post(load_report{.server = e.server,
                            .cold = e.cold,
                            .draining = e.draining,
                            .in_flight = e.in_flight,
                            .server_boot = e.boot,
                            .age = e.age,
                            .weight = e.weight_per_mille / 1'000.0});
}

void entry_host::impl::Carry(probe_suspected& e) {
  LogEvent(log_level::kInfo, "server-suspected",
           {{"server", e.server.value()},
            {"reason", std::string(to_string(e.reason))}});
  DeliverSurely(balance_, server_suspected{e.server});
}

void entry_host::impl::DoProbe(probe_relay::effect& e) {
  probe_completed done = prober_.Probe(std::get<send_probe>(e));
  metrics_.Count(counter_family::kProbes,
                 done.result == probe_result::kReport ? "report" : "failed");
  DeliverSurely(measure_, std::move(done));
}

// ---- Drain

void entry_host::impl::Carry(effective_config& e) {
  state_.SetServing(e.config);
  state_.has_config = true;
  DeliverSurely(balance_, config_changed{e.config});
}

void entry_host::impl::Carry(draining_started& e) {
  state_.ends_at = e.ends_at;
  state_.leaving = true;
  // Drain knows of the requests before its notice time ends, however long a
  // chore in progress takes.
  drain_.Post(requests_in_flight{state_.in_flight});
  DeliverSurely(housekeeping_, e);
  callers_.BeginClosing();
  forwards_.BeginClosing();
  if (HasLog())
    membership_.Post(shutdown_started{});
}

void entry_host::impl::Carry(drained& e) {
  std::lock_guard lock(stop_mutex_);
  stop_cut_ = e.cut_requests;
  stop_changed_.notify_all();
}

// ---- Housekeeping

void entry_host::impl::DoChore(peer_lost& e) {
  links_.Remove(e.run.address);
}

void entry_host::impl::DoChore(count_requests&) {
  drain_.Post(requests_in_flight{state_.in_flight});
}

void entry_host::impl::DoChore(roll_statistics&) {
  metrics_.RollInterval(clock_.Now());
}

void entry_host::impl::DoChore(read_host_list&) {
  if (host_list_ == nullptr)
    return;
  const time_point asked = clock_.Now().steady;
  std::optional<std::vector<listed_host>> hosts =
      host_list_->List(kHostListTimeout);
  if (!hosts)
    return;
  host_list entry_hosts{.live = {}, .leaving = {}, .fetched = asked};
  for (const listed_host& host : *hosts) {
    if (host.kind != host_kind::kEntry)
      continue;
    auto& list = host.state == host_state::kLive ? entry_hosts.live
                                                 : entry_hosts.leaving;
    list.push_back(host.address);
  }
  if (HasLog())
    DeliverSurely(membership_, std::move(entry_hosts));
  DeliverSurely(drain_, listed_hosts{std::move(*hosts)});
}

}  // namespace dotterellead
