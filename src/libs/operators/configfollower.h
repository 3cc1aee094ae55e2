#pragma once

#include "core/siteconfig.h"
#include "platform/prefixfollower.h"
#include "platform/store.h"
#include "utils/error.h"

#include <absl/time/time.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::operators {

/// Where the operator's configuration lies and how it is read.
struct ConfigSource {
  std::string Key;
  /// BadMessage when value is no configuration.
  std::function<utils::Result<core::SiteConfig>(const std::string &value)>
      Decode;
  /// How often the view is confirmed while the watch brings nothing.
  absl::Duration ConfirmEvery = absl::Milliseconds(600);
  platform::FollowTiming Follow;
};

/// Follows the operator's configuration on one event loop and knows how fresh
/// its view is. A watch that brings nothing proves nothing: it may be silent
/// while changes are made. So the view is confirmed by a transaction without
/// writes that expects the revision held, which the store answers from its
/// newest state. Versions never go back; a configuration that cannot be read
/// is refused and the last good one stays in force.
class ConfigFollower {
public:
  using OnConfig =
      std::function<void(const std::shared_ptr<const core::SiteConfig> &)>;
  using OnRefused = std::function<void(const utils::Error &)>;
  /// A newer configuration than the one in force here is known to be.
  using OnOutdated = std::function<void(const core::ConfigStamp &newer)>;
  using OnTrouble =
      std::function<void(platform::StoreStatus, const std::string &why)>;

  ConfigFollower(utils::EventLoop &loop, const platform::Store &store,
                 ConfigSource source, OnConfig onConfig, OnRefused onRefused,
                 OnOutdated onOutdated, OnTrouble onTrouble);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower &) = delete;
  ConfigFollower &operator=(const ConfigFollower &) = delete;

  void start();
  /// The configuration in force; null before the first.
  const std::shared_ptr<const core::SiteConfig> &current() const {
    return Current;
  }
  /// Which one that is; zeros before the first.
  core::ConfigStamp stamp() const {
    return {Revision, Current != nullptr ? Current->Version : 0};
  }
  /// Another entry has gone by the configuration of newer: nobody must be
  /// served by an older one here any more. The store is asked for it.
  void heardOf(const core::ConfigStamp &newer);
  /// Whether a newer configuration than the one in force here is known to be.
  bool outdated() const { return Revision < NewestHeard; }
  /// The store's revision of the newest configuration that is known to be.
  int64_t newestRevision() const { return std::max(Revision, NewestHeard); }
  /// The condition under which a transaction acts on the configuration in
  /// force and no other.
  platform::StoreCondition condition() const { return {Source.Key, Revision}; }
  /// How old the view is: the time since a call was sent whose answer showed
  /// that the configuration in force is the newest.
  absl::Duration age(absl::Time now) const { return now - Confirmed; }
  /// Takes the configuration's key as some call returned it, asked at sent.
  void learn(const platform::KeyValue &item, absl::Time sent);
  /// Confirms the view now; done is called with whether that worked. timeoutMs
  /// 0: the store's own.
  void confirm(std::function<void(bool)> done, long timeoutMs = 0);

private:
  void confirmLater();
  void take(const platform::KeyValue &item);

  utils::EventLoop &Loop;
  const platform::Store &Calls;
  const ConfigSource Source;
  const OnConfig Changed;
  const OnRefused Refused;
  const OnOutdated Outdated;
  const OnTrouble Trouble;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  platform::PrefixFollower Follower;
  std::shared_ptr<const core::SiteConfig> Current;
  int64_t Revision = 0;
  /// Revision of the newest value seen, readable or not.
  int64_t SeenRevision = 0;
  /// Of the newest configuration that any entry was heard to go by.
  int64_t NewestHeard = 0;
  absl::Time Confirmed = absl::InfinitePast();
};

} // namespace oriolebay::operators
