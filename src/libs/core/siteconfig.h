#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolebay::core {

/// A queue as the operator configures it. Callers reach it by host and path
/// prefix; its tasks run on the endpoints of Service.
struct QueueConfig {
  std::string Name;
  std::string Host;
  std::string Prefix;
  std::string Service;
  /// Zero comes first and may have other work stopped for it.
  int Priority = 0;
  /// A task that failed so often fails its job.
  int Attempts = 1;
  /// Calls need no key.
  bool Public = false;
  int64_t TimeoutMs = 0;
  int64_t TargetLatencyMs = 0;
  /// A job is in time within Stretch times its longest chain of work plus
  /// TargetLatencyMs.
  double Stretch = 1.0;
  /// Which workers may run a step is asked of the advice service.
  bool NeedsAdvice = false;

  auto operator<=>(const QueueConfig &) const = default;
};

/// An organisation, its keys, and the accelerators that are its own for work
/// of priority 0.
struct OrganisationConfig {
  std::string Name;
  std::vector<std::string> Keys;
  int64_t GuaranteedAccelerators = 0;

  auto operator<=>(const OrganisationConfig &) const = default;
};

/// Which configuration something was decided by. Revision, the store's of the
/// configuration's key, tells which of two is newer; an operator may write one
/// version twice.
struct ConfigStamp {
  int64_t Revision = 0;
  int64_t Version = 0;

  auto operator<=>(const ConfigStamp &) const = default;
};

/// The operator's configuration at one version. Versions only grow.
struct SiteConfig {
  int64_t Version = 0;
  std::vector<QueueConfig> Queues;
  std::vector<OrganisationConfig> Organisations;
  size_t MaxBodyBytes = 1 << 20;

  /// The queue of host with the longest prefix that path begins with, or null.
  const QueueConfig *route(const std::string &host,
                           const std::string &path) const;
  const QueueConfig *queue(const std::string &name) const;
  /// Whose key it is, or null.
  const OrganisationConfig *owner(const std::string &key) const;
  const OrganisationConfig *organisation(const std::string &name) const;

  auto operator<=>(const SiteConfig &) const = default;
};

} // namespace oriolebay::core
