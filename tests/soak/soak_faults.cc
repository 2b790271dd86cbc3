#include <signal.h>

#include "soak_world.h"

namespace dotterellead::soak {

task<> soak_world::InjectFaults() {
  co_await Sleep(io_, milliseconds(2'500));
  if (settings_.is_shedding)
    for (auto& server : servers_)
      server->SetSheds(true);
  while (std::chrono::steady_clock::now() < heal_at_) {
    asio::co_spawn(io_, OneFault(), asio::detached);
    // Faults come in series and overlap.
    const int pause = Draw(3) == 0 ? 50 : 300 + Draw(900);
    co_await Sleep(io_, milliseconds(pause));
  }
  Heal();
}

task<> soak_world::OneFault() {
  using fault = task<> (soak_world::*)();
  static constexpr fault kFaults[] = {
      &soak_world::FaultHost,    &soak_world::StopHosts,
      &soak_world::ReloadHost,   &soak_world::KillHosts,
      &soak_world::FaultStore,   &soak_world::FaultServer,
      &soak_world::FaultServer,  &soak_world::FaultLink,
      &soak_world::ChangeConfig, &soak_world::RestoreStore};
  static constexpr fault kPlannedWork[] = {
      &soak_world::StopHosts, &soak_world::StopHosts, &soak_world::ReloadHost,
      &soak_world::ChangeConfig};
  if (settings_.is_planned)
    co_await (this->*kPlannedWork[Draw(std::size(kPlannedWork))])();
  else
    co_await (this->*kFaults[Draw(std::size(kFaults))])();
}

task<> soak_world::FaultHost() {
  const unplanned_fault unplanned(*this);
  entry_process& host = hosts_[static_cast<std::size_t>(Draw(settings_.hosts))];
  if (Draw(2) == 0) {
    Signal(host, SIGKILL);
    co_return;
  }
  Signal(host, SIGSTOP);
  co_await Sleep(io_, milliseconds(300 + Draw(1'500)));
  Signal(host, SIGCONT);
}

// Several hosts at once, or all of them.
task<> soak_world::KillHosts() {
  const unplanned_fault unplanned(*this);
  const int share = 1 + Draw(4);
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    if (Draw(4) < share)
      Signal(hosts_[i], SIGKILL);
  co_return;
}

// A part of the hosts in turn, also faster than they end.
task<> soak_world::StopHosts() {
  const int count = 1 + Draw(settings_.hosts);
  const int first = Draw(settings_.hosts);
  const int gap = 200 + Draw(1'300);
  for (int i = 0;
       i < count && std::chrono::steady_clock::now() + kGrace < heal_at_; ++i) {
    Signal(hosts_[static_cast<std::size_t>((first + i) % settings_.hosts)],
           SIGTERM);
    co_await Sleep(io_, milliseconds(gap));
  }
}

task<> soak_world::ReloadHost() {
  entry_process& host = hosts_[static_cast<std::size_t>(Draw(settings_.hosts))];
  for (int i = 0; i < 3; ++i) {
    Signal(host, SIGHUP);
    co_await Sleep(io_, milliseconds(30));
  }
}

task<> soak_world::FaultStore() {
  const unplanned_fault unplanned(*this);
  constexpr store_fault kFaults[] = {store_fault::kBusy, store_fault::kSilent,
                                     store_fault::kReset, store_fault::kSlow};
  const int which = Draw(5);
  store_calm_at_ = time_point::max();
  if (which == 4)
    store_->Compact();
  else
    store_->SetFault(kFaults[which]);
  co_await Sleep(io_, milliseconds(400 + Draw(1'800)));
  store_->SetFault(store_fault::kNone);
  store_calm_at_ = std::chrono::steady_clock::now() + kContactWindow;
}

// The store is away for a moment and comes back from a copy. Servers write
// their entries again with their next report, operators a little later.
task<> soak_world::RestoreStore() {
  const unplanned_fault unplanned(*this);
  constexpr milliseconds kAges[] = {milliseconds(1'000), milliseconds(5'000),
                                    milliseconds(20'000)};
  store_calm_at_ = time_point::max();
  store_->SetFault(store_fault::kBusy);
  co_await Sleep(io_, milliseconds(100 + Draw(600)));
  store_->RestoreCopy(kAges[Draw(std::size(kAges))]);
  store_->SetFault(store_fault::kNone);
  co_await Sleep(io_, milliseconds(200 + Draw(1'300)));
  if (!store_->HasValue("keyed.op", "config", config_))
    store_->Put("keyed.op", "config", config_);
  store_calm_at_ = std::chrono::steady_clock::now() + kContactWindow;
}

task<> soak_world::FaultServer() {
  const unplanned_fault unplanned(*this);
  server_standin& server =
      *servers_[static_cast<std::size_t>(Draw(settings_.servers))];
  switch (Draw(7)) {
    case 0:
      server.Crash();
      co_await Sleep(io_, milliseconds(300 + Draw(900)));
      server.Restart();
      break;
    case 1:
      server.SetLosesAnswers(true);
      co_await Sleep(io_, milliseconds(800));
      server.SetLosesAnswers(false);
      break;
    case 2:
      server.SetSlow(true);
      co_await Sleep(io_, milliseconds(1'200));
      server.SetSlow(false);
      break;
    case 3:
      server.AskForTime(milliseconds(700 + Draw(1'500)));
      break;
    case 4:
      co_await ShedLoad();
      break;
    default:
      co_await LeaveAndReturn(server);
  }
}

// Most servers reject a part of what they get, as under overload.
task<> soak_world::ShedLoad() {
  for (auto& server : servers_)
    if (Draw(4) > 0)
      server->SetSheds(true);
  co_await Sleep(io_, milliseconds(1'000 + Draw(4'000)));
  for (auto& server : servers_)
    server->SetSheds(settings_.is_shedding &&
                     std::chrono::steady_clock::now() < heal_at_);
}

// The server leaves, half of the times by its responses' header alone, and
// starts again under the same id at the same address.
task<> soak_world::LeaveAndReturn(server_standin& server) {
  if (server.is_leaving() || !server.is_up())
    co_return;
  const bool is_reported =
      Draw(2) == 0 && store_->fault() == store_fault::kNone;
  server.Leave(is_reported);
  if (is_reported)
    PutServer(server);
  co_await Sleep(io_, milliseconds(3'500));
  server.Crash();
  co_await Sleep(io_, milliseconds(200));
  server.Restart();
}

task<> soak_world::FaultLink() {
  const unplanned_fault unplanned(*this);
  constexpr link_fault kFaults[] = {link_fault::kDelay, link_fault::kSilent,
                                    link_fault::kOneWay};
  const bool is_store = Draw(4) == 0;
  fault_proxy& link =
      is_store ? *store_link_
               : *links_[static_cast<std::size_t>(Draw(settings_.servers))];
  if (is_store)
    store_calm_at_ = time_point::max();
  const int which = Draw(4);
  if (which == 3)
    link.ResetAll();
  else
    link.SetFault(kFaults[which]);
  co_await Sleep(io_, milliseconds(300 + Draw(1'200)));
  link.SetFault(link_fault::kNone);
  if (is_store)
    store_calm_at_ = std::chrono::steady_clock::now() + kContactWindow;
}

task<> soak_world::ChangeConfig() {
  if (store_->fault() == store_fault::kNone)
    PutConfig(Draw(2) == 0);
  co_return;
}

void soak_world::Heal() {
  for (entry_process& host : hosts_)
    if (host.is_stopped)
      Signal(host, SIGCONT);
  for (auto& server : servers_) {
    server->SetSheds(false);
    server->Restart();
  }
}

}  // namespace dotterellead::soak
