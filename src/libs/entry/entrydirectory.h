#pragma once

#include "platform/election.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace oriolebay::entry {

/// The entries that are registered in the store, by their keys. A key that
/// another writer has left names no entry. Must be used on one event loop; all
/// times are on the boot clock.
class EntryDirectory {
public:
  /// Returns whether messages can be sent to an address of this form.
  using IsAddress = std::function<bool(const std::string &)>;

  explicit EntryDirectory(IsAddress isAddress)
      : CheckAddress(std::move(isAddress)) {}

  /// Takes over a changed key. Fails with ErrorKind::BadMessage if it registers
  /// no entry; what was known of the key stays.
  utils::Result<void> apply(const platform::StoreEvent &event, absl::Time now);

  /// The addresses of the registered entries, in the order of their keys.
  std::vector<std::string> addresses() const;
  /// Number of registered entries.
  size_t count() const;
  /// The least memory of a registered entry's host in MB; zero if none is
  /// known.
  int64_t smallestMemoryMb() const;
  /// Returns whether an entry with more than this processor share is
  /// registered, or was until a short time ago.
  bool isLargerKnown(double processorShare, absl::Time now) const;

private:
  /// Time for which a removed entry still counts as known: in an outage of the
  /// store all registrations expire together, those of running entries too.
  static constexpr absl::Duration RemovedRetention = absl::Seconds(30);

  struct Entry {
    platform::EntryRecord Record;
    /// Infinite while the entry is registered.
    absl::Time RemovedAt = absl::InfiniteFuture();
  };

  void dropRemoved(absl::Time now);

  const IsAddress CheckAddress;
  std::map<std::string, Entry> Entries;
};

} // namespace oriolebay::entry
