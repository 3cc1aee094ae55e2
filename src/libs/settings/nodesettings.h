#pragma once

#include "utils/error.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace oriolebay::settings {

/// A network address that consists of a host and a port.
struct HostPort {
  std::string Host;
  int Port = 0;
  std::string text() const { return Host + ":" + std::to_string(Port); }
  auto operator<=>(const HostPort &) const = default;
};

/// Time limits that the site guarantees or requires; every timeout is derived
/// from them. Times are in milliseconds.
struct SiteBounds {
  /// Longest extension of task leases that a worker accepts in one keep-alive
  /// call.
  int HoldMaxMs = 6000;
  /// Maximum time that it takes to stop a task.
  int StopGraceMs = 900;
  /// Maximum time for which the members of a gang wait for each other.
  int GangWaitMs = 3000;
  /// Time after SIGTERM after which a process is killed.
  int TermGraceMs = 6000;
  /// Maximum time until a changed configuration is in force.
  int ConfigApplyMs = 2000;
  /// Time after an effect of a changed configuration has been seen from which
  /// an older one must not be used.
  int ConfigRollbackMs = 250;
  /// Maximum time until an API key that was revoked is refused.
  int RevokeMs = 5000;
  /// Maximum time for which a process may still act in a role after another
  /// process has replaced it in that role.
  int LeaseMs = 3000;
  /// Minimum time for which a finished job can be read.
  int KeepFinishedMs = 120000;
  /// Factor by which the duration of a task grows when it runs on another rack
  /// than its data, or when its gang spans several racks.
  double RemoteFactor = 3;
  /// Time that a run needs to start from a checkpoint.
  int RestoreMs = 600;
  /// Maximum time until work of priority 0 within its organisation's guarantee
  /// runs.
  int ReclaimMs = 3400;
  /// Maximum time after the operator has cordoned a failure domain in which
  /// tasks may still start there.
  int CordonMs = 5000;
  bool operator==(const SiteBounds &) const = default;
};

/// Settings of a process that serves jobs kept in the store (oriolebay-entry
/// jobs, oriolebay-agent jobs), read from JSON.
struct NodeSettings {
  std::string Name;
  std::string FailureDomain;
  /// All failure domains of the site; empty if they are not known.
  std::vector<std::string> SiteFailureDomains;
  /// Addresses at which callers, the readiness check and the worker's
  /// heartbeats are served; the port is 0 when the role does not serve them.
  HostPort Callers;
  HostPort Ready;
  HostPort Control;
  /// Address for the system's own processes, which use nng over TCP.
  HostPort Peers;
  HostPort Metrics;
  /// The worker that belongs to the agent.
  HostPort Worker;
  HostPort Store;
  int StoreMinLeaseMs = 1000;
  HostPort Advice;
  int HeartbeatMs = 1500;
  /// Number of cores, such as 0.25, that the host gives to this process.
  double ProcessorShare = 1;
  /// Memory in MB that the host gives to this process.
  int MemoryMb = 128;
  SiteBounds Bounds;
  bool operator==(const NodeSettings &) const = default;
};

/// Returns one part of this many of a host's memory, in bytes.
constexpr size_t partOfMemory(int64_t memoryMb, size_t divisor) {
  constexpr size_t BytesPerMb = 1'000'000;
  return static_cast<size_t>(memoryMb) * BytesPerMb / divisor;
}

/// Intervals and timeouts that are derived from a site's bounds and the
/// heartbeat period.
struct Timing {
  /// Interval at which agents report to the leader. It is a third of the
  /// heartbeat period, so that two reports may be lost before a worker counts
  /// as unresponsive.
  absl::Duration ReportInterval;
  /// A worker gets no new work when its agent has sent no report for this long,
  /// which is three report intervals.
  absl::Duration UnresponsiveAfter;
  /// Age of a worker's last heartbeat from which its state counts as outdated.
  /// One heartbeat may be lost before that.
  absl::Duration StateOutdatedAfter;
  /// Maximum time for which an agent may keep tasks alive after a report that
  /// the leader answered. It is the worker's limit (HoldMaxMs) less one report
  /// interval, so that each renewal can extend the lease by the whole grant.
  absl::Duration Grant;
  /// Maximum time for which the leader extends grants without access to the
  /// store. It is 5/4 of the worker's limit (HoldMaxMs): tasks survive an
  /// outage of 3/2 of that limit, because the last grant runs on after it. A
  /// longer time would delay the tasks of a silent worker, because a new leader
  /// has to wait until no earlier one can keep them alive any more.
  absl::Duration GrantWithoutStore;
  /// Time after which a grant has certainly ended. It allows for a worker's
  /// clock that is 2% slow and for a call that is still in flight.
  absl::Duration GrantExpiredAfter;
  /// Duration of the leader's lease in the store: two thirds of the time for
  /// which a replaced process may still act (LeaseMs), but not less than the
  /// store's minimum.
  absl::Duration LeaderLease;
  /// Interval at which the configuration is confirmed. It is short enough that
  /// a change is in force in time even if one answer is lost.
  absl::Duration ConfirmInterval;
  /// Maximum age of a view of the configuration that was confirmed in time. If
  /// the view is older, a confirmation is missing, and the store's watches are
  /// not relied on either.
  absl::Duration MaxViewAge;
  /// Maximum age of a view of the configuration. Calls are not served with
  /// older views. It is below both the time until a change has to be in force
  /// (ConfigApplyMs) and that until a revoked key has to be refused (RevokeMs).
  absl::Duration MaxConfigAge;
  /// Maximum age of the view with which a process reports itself as ready.
  absl::Duration NotReadyAfter;
  /// Time after which capacity is freed for work within its organisation's
  /// guarantee, regardless of the work that this discards. The rest of the
  /// bound (ReclaimMs) is for the stop itself, the writes to the store and the
  /// start.
  absl::Duration ReclaimAfter;
  /// Interval at which the leader reads the cordons of failure domains. It is
  /// short enough that starts go on while single reads or reports are lost.
  absl::Duration CordonReadInterval;
  /// Maximum age of the view of the cordons with which an agent starts a run.
  /// The rest of the bound (CordonMs) is for the call to the worker.
  absl::Duration MaxCordonAge;
  /// Maximum time that a process takes to stop.
  absl::Duration MaxShutdownTime;
};
Timing deriveTiming(const NodeSettings &settings);

/// Parses and checks settings. Unknown keys, wrong types and missing or
/// unusable values give ErrorKind::BadSettings with the name of the key and the
/// remedy.
utils::Result<NodeSettings> parseNodeSettings(const std::string &text);

} // namespace oriolebay::settings
