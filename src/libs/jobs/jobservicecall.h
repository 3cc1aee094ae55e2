#pragma once

#include "callwrites.h"
#include "jobservice.h"

#include <optional>
#include <set>
#include <string>

namespace oriolebay::jobs {

/// A caller's call that is being served.
struct JobService::Call {
  std::string Name;
  CallerAccess Access;
  core::JobSpec Spec;
  std::string JobId;
  Done Answer;
  absl::Time ReceivedAt;
  /// Limit of the request; see CallRequest.
  absl::Duration MaxConfigAge = absl::InfiniteDuration();
  /// The call may only be decided by a configuration that was confirmed at this
  /// time or later.
  absl::Time OldestConfirmation = absl::InfinitePast();
  /// The configuration that the call was checked against last.
  std::shared_ptr<const core::SiteConfig> Config;
  core::ConfigStamp CheckedConfig;
  absl::Duration ConfigAge = absl::InfiniteDuration();
  core::QueueConfig Queue;
  std::string Organisation;
  /// Queue and key were found in that configuration.
  bool IsAuthorised = false;
  /// The newest configuration that has allowed the call, here or at the entry
  /// that forwards it.
  core::ConfigStamp AllowedBy;
  CallWrites Writes;
  /// The organisations as whose job the writes store it. There are several if
  /// the key or the queue has changed hands between two writes.
  std::set<std::string> WritingOrganisations;
  /// The call's entry among the jobs that may be stored, if it has one.
  std::optional<OpenJobs::Id> OpenJob;
  /// An earlier call for the job, whose outcome is open, keeps this one from
  /// being refused.
  bool AwaitsEarlierCall = false;
  /// The id is barred, so that no write of a job under it can take effect any
  /// more.
  bool IsIdBarred = false;
  /// Revision of the record that the submitted job may replace, a tombstone of
  /// another organisation; zero if there is none.
  int64_t ReplacedRevision = 0;
  /// The store was asked what became of the open writes.
  bool SettlingBegun = false;
  /// The call was forwarded by another entry, or to one.
  bool FromOtherEntry = false;
  bool SentToOtherEntry = false;
  int Tries = 0;
  bool Finished = false;
};

} // namespace oriolebay::jobs
