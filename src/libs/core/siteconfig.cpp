#include "siteconfig.h"

#include <algorithm>

namespace oriolebay::core {

const QueueConfig *SiteConfig::route(const std::string &host,
                                     const std::string &path) const {
  const QueueConfig *best = nullptr;
  for (const QueueConfig &q : Queues)
    if (q.Host == host && path.compare(0, q.Prefix.size(), q.Prefix) == 0 &&
        (best == nullptr || q.Prefix.size() > best->Prefix.size()))
      best = &q;
  return best;
}

const QueueConfig *SiteConfig::queue(const std::string &name) const {
  auto it = std::find_if(Queues.begin(), Queues.end(),
                         [&](const QueueConfig &q) { return q.Name == name; });
  return it == Queues.end() ? nullptr : &*it;
}

const OrganisationConfig *SiteConfig::owner(const std::string &key) const {
  for (const OrganisationConfig &o : Organisations)
    if (std::find(o.Keys.begin(), o.Keys.end(), key) != o.Keys.end())
      return &o;
  return nullptr;
}

const OrganisationConfig *
SiteConfig::organisation(const std::string &name) const {
  auto it =
      std::find_if(Organisations.begin(), Organisations.end(),
                   [&](const OrganisationConfig &o) { return o.Name == name; });
  return it == Organisations.end() ? nullptr : &*it;
}

} // namespace oriolebay::core
