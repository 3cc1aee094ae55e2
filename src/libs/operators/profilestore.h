#pragma once

#include "core/profile.h"
#include "platform/kvclient.h"
#include "utils/error.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace oriolebay::operators {

/// Prefix of the profiles in the platform's store, with one key per profile.
inline constexpr const char *ProfilePrefix = "/oriolebay/profiles/";

/// Writes profile with compare-and-swap. expectedVersion is the version that
/// the operator read (zero for a new profile). When another operator wrote
/// first, the result is ErrorKind::StoreConflict with the version that is
/// stored now. Returns the new version. Rejects a profile that fails
/// checkProfile().
utils::Result<int64_t> writeProfile(platform::KvClient &kv,
                                    const core::Profile &profile,
                                    int64_t expectedVersion);

/// Returns all valid profiles in the store, each with Version set to its key's
/// revision. Values that cannot be parsed are skipped.
utils::Result<std::vector<core::Profile>> readProfiles(platform::KvClient &kv);

/// Returns what to fix in profile; empty when it can be applied.
std::string checkProfile(const core::Profile &profile);

/// Follows the profiles in the store on its own thread: reads all of them, then
/// long-polls for changes, and passes each valid one to the callback. During a
/// store outage it retries with backoff; profiles that were applied before stay
/// in force.
class ProfileWatcher {
public:
  using OnProfile = std::function<void(const core::Profile &)>;
  using OnStoreError = std::function<void(const utils::Error &)>;

  /// pollMs limits each long poll. The callbacks run on the watcher's thread.
  ProfileWatcher(platform::KvClient &kv, OnProfile onProfile,
                 OnStoreError onError, long pollMs);
  ~ProfileWatcher();
  ProfileWatcher(const ProfileWatcher &) = delete;
  ProfileWatcher &operator=(const ProfileWatcher &) = delete;

  /// Waits for the current poll to end and stops the thread.
  void stop();

private:
  void follow();

  platform::KvClient &Kv;
  OnProfile NotifyProfile;
  OnStoreError NotifyStoreError;
  const long PollMs;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace oriolebay::operators
