#pragma once

#include "jobspec.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolebay::core {

/// A queue as configured by the operator. Callers address it by host and path
/// prefix; its tasks run on the endpoints of Service.
struct QueueConfig {
  std::string Name;
  std::string Host;
  std::string Prefix;
  std::string Service;
  /// Zero is the highest priority; other work may be stopped for it.
  int Priority = 0;
  /// Number of failed attempts of a task after which its job fails.
  int Attempts = 1;
  /// Calls to this queue need no API key.
  bool Public = false;
  int64_t TimeoutMs = 0;
  int64_t TargetLatencyMs = 0;
  /// A job meets its deadline if it takes at most Stretch times the duration of
  /// its critical path plus TargetLatencyMs.
  double Stretch = 1.0;
  /// The advice service is asked which workers may run a step.
  bool NeedsAdvice = false;

  /// Identifies the queue towards its callers, who do not see its name.
  std::string url() const { return Host + Prefix; }
  bool hasSameUrl(const QueueConfig &other) const {
    return Host == other.Host && Prefix == other.Prefix;
  }
  auto operator<=>(const QueueConfig &) const = default;
};

/// An organisation, its API keys, and the number of accelerators that are
/// guaranteed to its work of priority 0.
struct OrganisationConfig {
  std::string Name;
  std::vector<std::string> Keys;
  int64_t GuaranteedAccelerators = 0;

  auto operator<=>(const OrganisationConfig &) const = default;
};

/// Identifies the configuration that a decision is based on. Revision is the
/// store's revision of the configuration's key and tells which of two
/// configurations is newer; Version does not, because an operator may write the
/// same version twice.
struct ConfigStamp {
  int64_t Revision = 0;
  int64_t Version = 0;

  auto operator<=>(const ConfigStamp &) const = default;
};

/// The operator's configuration at one version. Versions only increase.
struct SiteConfig {
  int64_t Version = 0;
  std::vector<QueueConfig> Queues;
  std::vector<OrganisationConfig> Organisations;
  size_t MaxBodyBytes = 1 << 20;

  /// Returns the queue of host with the longest prefix that path begins with,
  /// or null.
  const QueueConfig *route(const std::string &host,
                           const std::string &path) const;
  const QueueConfig *queue(const std::string &name) const;
  /// Returns the queue that the job is in, or null if it is in none any more:
  /// the one with the host and prefix that its queue had, whatever its name;
  /// else the one with the name, which has moved; else the one that calls to
  /// the job's address reach.
  const QueueConfig *queueOf(const JobSpec &job) const;
  /// Returns whether queueOf() is queue, without a search for most jobs.
  bool isInQueue(const JobSpec &job, const QueueConfig &queue) const;
  /// Returns the organisation that key belongs to, or null.
  const OrganisationConfig *owner(const std::string &key) const;
  const OrganisationConfig *organisation(const std::string &name) const;

  auto operator<=>(const SiteConfig &) const = default;
};

} // namespace oriolebay::core
