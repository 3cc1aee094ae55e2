#pragma once

#include "core/siteconfig.h"
#include "platform/prefixfollower.h"
#include "platform/store.h"
#include "utils/error.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::operators {

/// Where an entry has learned from that a newer configuration exists.
enum class ConfigNewsSource { ForwardedCall, ForwardedAnswer, JobRecord };
/// The stable name of source, for logs.
const char *configNewsSourceName(ConfigNewsSource source);

/// Location of the operator's configuration in the store and how it is read.
struct ConfigSource {
  std::string Key;
  /// Parses value; BadMessage when value is not a valid configuration.
  std::function<utils::Result<core::SiteConfig>(const std::string &value)>
      Decode;
  /// Interval at which the local view is confirmed while the watch reports no
  /// changes.
  absl::Duration ConfirmInterval = absl::Milliseconds(600);
  platform::FollowTiming Follow;
};

/// Follows the operator's configuration on one event loop and keeps track of
/// how fresh the local view is. A silent watch does not prove that nothing
/// changed: it may stay silent while changes are made. The view is therefore
/// confirmed by a transaction without writes that expects the known revision,
/// which the store answers from its newest state. Versions never decrease. A
/// configuration that cannot be parsed is refused, and the last valid one stays
/// in force.
class ConfigFollower {
public:
  using OnConfig =
      std::function<void(const std::shared_ptr<const core::SiteConfig> &)>;
  /// Called when a configuration in the store cannot be parsed or has a lower
  /// version than the one in force.
  using OnRefused = std::function<void(const utils::Error &)>;
  /// Called when a newer configuration than the one in force here is known to
  /// exist.
  using OnOutdated = std::function<void(const core::ConfigStamp &newer,
                                        ConfigNewsSource source)>;
  using OnStoreError =
      std::function<void(platform::StoreStatus, const std::string &why)>;

  ConfigFollower(utils::EventLoop &loop, const platform::Store &store,
                 ConfigSource source, OnConfig onConfig, OnRefused onRefused,
                 OnOutdated onOutdated, OnStoreError onStoreError);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower &) = delete;
  ConfigFollower &operator=(const ConfigFollower &) = delete;

  void start();
  /// Returns the configuration in force; null before the first one was read.
  const std::shared_ptr<const core::SiteConfig> &current() const {
    return Current;
  }
  /// Returns the revision and version of the configuration in force; zeros
  /// before the first one was read. After a newer value was refused, the
  /// revision is that of the refused value.
  core::ConfigStamp stamp() const {
    return {Revision, Current != nullptr ? Current->Version : 0};
  }
  /// Must be called with the configuration that decided anything which this
  /// entry is told or reads. If it is newer than the one in force here, no call
  /// may be served with the latter any more, and the store is asked for the
  /// newest one.
  void handleNewerConfig(const core::ConfigStamp &newer,
                         ConfigNewsSource source);
  /// Returns whether a newer configuration than the one in force here is known
  /// to exist.
  bool isOutdated() const { return Revision < NewestHeardOf.Revision; }
  /// Returns the newest configuration that is known to exist. Its version is
  /// zero if only its revision was told.
  core::ConfigStamp newestKnown() const {
    return isOutdated() ? NewestHeardOf : stamp();
  }
  /// Returns the condition for transactions that depend on the configuration
  /// in force. It holds as long as the key's revision in the store is the one
  /// that stamp() returns.
  platform::StoreCondition condition() const { return {Source.Key, Revision}; }
  /// Returns the age of the view: the time since the sending of the last call
  /// whose answer showed that the configuration in force is the newest one.
  absl::Duration age(absl::Time now) const { return now - ConfirmedAt; }
  /// Returns when that call was sent; the infinite past if there was none.
  absl::Time confirmedAt() const { return ConfirmedAt; }
  /// Applies a value of the configuration's key that another store call, sent
  /// at sentAt, returned.
  void applyItem(const platform::KeyValue &item, absl::Time sentAt);
  /// Asks the store whether the configuration in force is still the newest one;
  /// if it is not, applies the newer one. Calls done with whether the store
  /// answered, and with false when no configuration was read yet. With a
  /// timeoutMs of 0 the store's own timeout applies.
  void confirm(std::function<void(bool)> done, long timeoutMs = 0);

private:
  void scheduleConfirmation();
  /// Puts the configuration in item in force, or refuses it. Ignores values
  /// that are not newer than the newest one seen.
  void applyConfig(const platform::KeyValue &item);

  utils::EventLoop &Loop;
  const platform::Store &StoreClient;
  const ConfigSource Source;
  const OnConfig NotifyChanged;
  const OnRefused NotifyRefused;
  const OnOutdated NotifyOutdated;
  const OnStoreError NotifyStoreError;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  platform::PrefixFollower Follower;
  std::shared_ptr<const core::SiteConfig> Current;
  int64_t Revision = 0;
  /// Revision of the newest value seen, whether it could be parsed or not.
  int64_t SeenRevision = 0;
  /// The newest configuration that any entry is known to use.
  core::ConfigStamp NewestHeardOf;
  absl::Time ConfirmedAt = absl::InfinitePast();
};

} // namespace oriolebay::operators
