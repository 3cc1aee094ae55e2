#pragma once

#include "jobdesk.h"

namespace oriolebay::jobs {

/// One caller's call while it is served.
struct JobDesk::Call {
  std::string Name;
  CallerAccess Access;
  core::JobSpec Spec;
  std::string JobId;
  Done Answer;
  absl::Time Began;
  /// What the call was checked against last.
  std::shared_ptr<const core::SiteConfig> Config;
  core::ConfigStamp CheckedBy;
  absl::Duration ConfigAge = absl::InfiniteDuration();
  core::QueueConfig Queue;
  std::string Organisation;
  /// A write was sent whose outcome is not known.
  bool MayBeDone = false;
  /// Handed over by another entry, or to one.
  bool Foreign = false;
  bool HandedOver = false;
  int Tries = 0;
  bool Finished = false;
};

} // namespace oriolebay::jobs
