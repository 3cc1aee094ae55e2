#include "siteconfig.h"

#include <algorithm>

namespace oriolebay::core {

namespace {

bool isReachedBy(const std::string &host, const std::string &path,
                 const QueueConfig &queue) {
  return queue.Host == host &&
         path.compare(0, queue.Prefix.size(), queue.Prefix) == 0;
}

bool isReachedBy(const JobAddress &address, const QueueConfig &queue) {
  return address.isKnown() && isReachedBy(address.Host, address.Path, queue);
}

bool isAtAddress(const JobAddress &address, const QueueConfig &queue) {
  return address.isKnown() && queue.Host == address.Host &&
         queue.Prefix == address.Prefix;
}

} // namespace

const QueueConfig *SiteConfig::route(const std::string &host,
                                     const std::string &path) const {
  const QueueConfig *best = nullptr;
  for (const QueueConfig &q : Queues)
    if (isReachedBy(host, path, q) &&
        (best == nullptr || q.Prefix.size() > best->Prefix.size()))
      best = &q;
  return best;
}

const QueueConfig *SiteConfig::queue(const std::string &name) const {
  auto it = std::find_if(Queues.begin(), Queues.end(),
                         [&](const QueueConfig &q) { return q.Name == name; });
  return it == Queues.end() ? nullptr : &*it;
}

const QueueConfig *SiteConfig::queueOf(const JobSpec &job) const {
  auto it =
      std::find_if(Queues.begin(), Queues.end(), [&](const QueueConfig &q) {
        return isAtAddress(job.Address, q);
      });
  if (it != Queues.end())
    return &*it;
  const QueueConfig *moved = queue(job.Queue);
  if (moved != nullptr || !job.Address.isKnown())
    return moved;
  return route(job.Address.Host, job.Address.Path);
}

bool SiteConfig::isInQueue(const JobSpec &job, const QueueConfig &queue) const {
  if (isAtAddress(job.Address, queue))
    return true;
  if (job.Queue != queue.Name && !isReachedBy(job.Address, queue))
    return false;
  const QueueConfig *own = queueOf(job);
  return own != nullptr && own->hasSameUrl(queue);
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
