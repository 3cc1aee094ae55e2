#pragma once

#include "utils/error.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace oriolebay::settings {

/// An address as HOST and PORT.
struct HostPort {
  std::string Host;
  int Port = 0;
  std::string text() const { return Host + ":" + std::to_string(Port); }
  auto operator<=>(const HostPort &) const = default;
};

/// The bounds that the site promises or demands; every timeout is derived from
/// them. Times in milliseconds.
struct SiteBounds {
  /// Longest that a worker lets its tasks be held ahead.
  int HoldMaxMs = 6000;
  /// How long a stop takes at most.
  int StopGraceMs = 900;
  /// How long a gang's members wait for each other.
  int GangWaitMs = 3000;
  /// After SIGTERM a process is killed after this.
  int TermGraceMs = 6000;
  /// A changed configuration must be in force after this.
  int ConfigApplyMs = 2000;
  /// A key that was taken away must be refused after this.
  int RevokeMs = 5000;
  /// A holder of a duty must not act for this long after it was replaced.
  int LeaseMs = 3000;
  /// Finished jobs must be readable for this long.
  int KeepFinishedMs = 120000;
  /// A task away from its data, or a gang over several racks, takes so many
  /// times as long.
  double RemoteFactor = 3;
  /// How long a run that goes on from a checkpoint takes to begin.
  int RestoreMs = 600;
  /// Work of priority 0 within its organisation's guarantee must run after
  /// this.
  int ReclaimMs = 3400;
  bool operator==(const SiteBounds &) const = default;
};

/// Settings of a process that serves lasting jobs (oriolebay-entry jobs,
/// oriolebay-agent jobs), read from JSON.
struct NodeSettings {
  std::string Name;
  std::string FailureDomain;
  /// Where callers, the readiness check and the worker's heartbeats arrive;
  /// port 0 where the role does not serve them.
  HostPort Callers;
  HostPort Ready;
  HostPort Control;
  /// For the system's own processes: nng over TCP.
  HostPort Peers;
  HostPort Metrics;
  /// The worker beside an agent.
  HostPort Worker;
  HostPort Store;
  int StoreMinLeaseMs = 1000;
  HostPort Advice;
  int HeartbeatMs = 1500;
  /// Of a core, as the host gives it to its processes.
  double ProcessorShare = 1;
  SiteBounds Bounds;
  bool operator==(const NodeSettings &) const = default;
};

/// The periods and timeouts that follow from a site's bounds.
struct Timing {
  /// Agents report to the leader this often: three times a heartbeat period,
  /// so that two may be lost before a worker is suspect.
  absl::Duration ReportEvery;
  /// A worker whose agent was silent for three reports gets no new work.
  absl::Duration SuspectAfter;
  /// How long an agent may keep tasks alive after a report that the leader
  /// answered: what the worker allows, less one report period, so that each
  /// renewal can be whole.
  absl::Duration Grant;
  /// The leader grants for so long without the store: twice what a worker can
  /// be held, which covers an outage of the store and its end.
  absl::Duration GrantWithoutStore;
  /// The worker's clock may be 2% slow; and a call may be on its way.
  absl::Duration GrantOverAfter;
  absl::Duration LeaderLease;
  /// The configuration is confirmed so often that a change is in force in time
  /// even if one answer is lost.
  absl::Duration ConfirmEvery;
  /// A view of the configuration that was confirmed in time is no older.
  absl::Duration FreshConfig;
  /// Older views of the configuration serve no calls, and show as not ready.
  absl::Duration OldestConfig;
  absl::Duration NotReadyAfter;
  /// Room is made for work within its organisation's guarantee by then,
  /// whatever that throws away: the stop itself, the store and the start follow
  /// within what is left of the bound.
  absl::Duration ReclaimAfter;
  /// When a stopping process leaves at the latest.
  absl::Duration LeaveBy;
};
Timing deriveTiming(const NodeSettings &settings);

/// Reads and checks settings. Unknown keys, wrong types, missing or unusable
/// values give ErrorKind::BadSettings naming the key and the remedy.
utils::Result<NodeSettings> parseNodeSettings(const std::string &text);

} // namespace oriolebay::settings
