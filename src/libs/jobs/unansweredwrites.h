#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>

namespace oriolebay::jobs {

/// Calls that write, from the time at which they were forwarded until their
/// answer came. Another entry may have carried out such a call by a newer
/// configuration than any that is known here, and callers may have seen its
/// effect. Until the answer tells, calls must be decided by a configuration
/// that the store has confirmed since then. All times are on the boot clock.
class UnansweredWrites {
public:
  using Id = int64_t;

  /// seenAfter: time after an effect from which callers rely on it.
  explicit UnansweredWrites(absl::Duration seenAfter) : SeenAfter(seenAfter) {}

  /// Adds a call that was sent at sentAt and that other entries may carry out
  /// until endsAt.
  Id add(absl::Time sentAt, absl::Time endsAt);
  /// The call was answered, and nobody else can have carried it out.
  void remove(Id id);
  /// Removes the calls that could be carried out until time at most, because
  /// every configuration that is used was confirmed later.
  void removeEndedBy(absl::Time time);
  /// Returns the earliest time at which the configuration that decides a call
  /// received at receivedAt must have been confirmed; the infinite past if any
  /// will do.
  absl::Time oldestConfirmation(absl::Time receivedAt) const;
  size_t count() const { return Writes.size(); }

private:
  struct Write {
    absl::Time SentAt;
    absl::Time EndsAt;
  };

  const absl::Duration SeenAfter;
  Id LastId = 0;
  std::map<Id, Write> Writes;
};

} // namespace oriolebay::jobs
