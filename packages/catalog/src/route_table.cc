#include <algorithm>
#include <cctype>

#include "dotterellead/catalog.h"

namespace dotterellead::catalog {

namespace {

std::string HostWithoutPort(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return name;
}

}  // namespace

route_table::route_table(configuration_ptr config)
    : config_(std::move(config)) {
  if (!config_)
    return;
  for (const route& r : config_->routes)
    by_host_[HostWithoutPort(r.host)].push_back(&r);
  for (auto& [host, routes] : by_host_)
    std::stable_sort(routes.begin(), routes.end(),
                     [](const route* a, const route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
}

const route* route_table::Find(std::string_view host,
                               std::string_view path) const {
  auto it = by_host_.find(HostWithoutPort(host));
  if (it == by_host_.end())
    return nullptr;
  const std::string_view path_only = path.substr(0, path.find('?'));
  for (const route* r : it->second)
    if (path_only.starts_with(r->prefix))
      return r;
  return nullptr;
}

}  // namespace dotterellead::catalog
