#include "dotterellead/operate.h"

namespace dotterellead {
namespace {

std::vector<member_id> MembersBehind(const host_status& host,
                                     log_offset revision) {
  std::vector<member_id> behind;
  for (const member_status& m : host.members) {
    const bool has = m.config_offset.next() > revision;
    if (m.live && !has)
      behind.push_back(m.member);
  }
  return behind;
}

template <class Map>
void AddAll(const Map& resources,
            const std::string& kind,
            const host_status& host,
            std::vector<resource_status>& out) {
  for (const auto& [name, stored] : resources) {
    out.push_back({{kind, name.value()},
                   stored.revision,
                   MembersBehind(host, stored.revision)});
  }
}

}  // namespace

std::vector<resource_status> StatusOfResources(const config_view& view,
                                               const host_status& host) {
  std::vector<resource_status> all;
  AddAll(view.pools, "pool", host, all);
  AddAll(view.data_centres, "data_centre", host, all);
  AddAll(view.moves, "move", host, all);
  return all;
}

// ---- config_feed

void config_feed::Publish(const config_published& published) {
  std::lock_guard lock(mutex_);
  if (!published.changes_complete) {
    changes_.clear();
    complete_from_ = published.view->through.next();
  }
  changes_.insert(changes_.end(), published.changes.begin(),
                  published.changes.end());
  while (changes_.size() > max_changes_) {
    complete_from_ = changes_.front().offset.next();
    changes_.pop_front();
  }
  view_ = published.view;
  changed_.notify_all();
}

config_snapshot config_feed::Config() const {
  std::lock_guard lock(mutex_);
  return view_;
}

config_changes config_feed::ChangesFrom(log_offset from, time_point deadline) {
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, deadline, [&] {
    return closed_ || (view_ != nullptr &&
                       (from < complete_from_ ||
                        (!changes_.empty() && changes_.back().offset >= from)));
  });
  config_changes found{view_, {}, from >= complete_from_};
  for (const config_change& change : changes_) {
    if (change.offset >= from)
      found.changes.push_back(change);
  }
  return found;
}

void config_feed::Close() {
  std::lock_guard lock(mutex_);
  closed_ = true;
  changed_.notify_all();
}

}  // namespace dotterellead
