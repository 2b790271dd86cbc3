#include "dotterellead/fleet.h"

namespace dotterellead::fleet {

std::vector<news_item> news_board::Apply(const news_batch& batch) {
  part& p = parts_[static_cast<std::size_t>(batch.source)];
  std::vector<news_item> taken;
  for (const news_item& item : batch.items) {
    auto known = p.items.find(item.key);
    if (known != p.items.end() && known->second.position >= item.position)
      continue;
    p.items.insert_or_assign(item.key, item);
    taken.push_back(item);
  }
  if (batch.upto.is_valid() && (!p.upto.is_valid() || batch.upto > p.upto))
    p.upto = batch.upto;
  p.checked = std::max(p.checked, batch.checked);
  return taken;
}

std::vector<news_item> news_board::Since(stream source,
                                         log_offset position) const {
  std::vector<news_item> items;
  for (const auto& [key, item] : Part(source).items)
    if (!position.is_valid() || item.position >= position)
      items.push_back(item);
  return items;
}

bool IsAbove(const host_info& a, const host_info& b) {
  return std::tie(a.data_centre, a.name) < std::tie(b.data_centre, b.name);
}

std::vector<host_info> HostsAbove(const host_info& self,
                                  const std::vector<host_info>& known) {
  std::vector<host_info> near;
  std::vector<host_info> far;
  for (const host_info& host : known)
    if (IsAbove(host, self))
      (host.data_centre == self.data_centre ? near : far).push_back(host);
  std::sort(near.begin(), near.end(), IsAbove);
  std::sort(far.begin(), far.end(), IsAbove);
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

}  // namespace dotterellead::fleet
