#pragma once

#include "callanswer.h"
#include "platform/store.h"

#include <cstdint>
#include <limits>

namespace oriolebay::jobs {

/// The writes that were sent for one call of a caller, by this entry or by the
/// entries to which the call was forwarded. A write is open from its sending
/// until it is known to be done, or to be neither done nor possible any more.
/// A call must not be refused while one of its writes is open. Uses no threads,
/// clock or sockets.
class CallWrites {
public:
  /// Stands for the revision of the configuration that a write depends on, if
  /// it depends on none.
  static constexpr int64_t NoConfig = std::numeric_limits<int64_t>::max();

  /// A write is sent that can only be done while the configuration in the store
  /// has this revision. One write is sent at a time.
  void recordSent(int64_t configRevision);
  /// The write sent last had this outcome.
  void recordOutcome(platform::StoreStatus status);
  /// Another entry that was asked for the call did not answer, and may carry it
  /// out.
  void recordUnansweredForward() { OpenRevision = NoConfig; }
  /// The entry that forwards the call has an open write, which depends on this
  /// revision. Called before any write of this entry.
  void adopt(int64_t openRevision) { OpenRevision = openRevision; }
  /// Nothing of the call was stored while the configuration had this revision.
  /// Writes that depend on an earlier one cannot be done any more.
  void recordNothingStored(int64_t configRevision);
  /// No write of the call can be done any more, whatever was done.
  void settle();

  bool isOpen() const { return PendingRevision != 0 || OpenRevision != 0; }
  /// Returns whether recordNothingStored() with this revision would leave no
  /// write open.
  bool canBeSettledBy(int64_t configRevision) const;
  /// Returns the newest revision of the configuration that an open write
  /// depends on; zero if none is open.
  int64_t openRevision() const;
  int sentCount() const { return SentCount; }
  int unansweredCount() const { return UnansweredCount; }

private:
  /// The revision that the write without an outcome so far depends on; zero if
  /// there is none.
  int64_t PendingRevision = 0;
  /// The newest revision that a write without an answer depends on; zero if
  /// there is none.
  int64_t OpenRevision = 0;
  int SentCount = 0;
  int UnansweredCount = 0;
};

/// Returns whether the result tells the caller that its call has no effect.
bool isRefusal(CallResult result);
/// Returns whether the result promises that a submitted job never runs.
bool isNeverRun(CallResult result);

} // namespace oriolebay::jobs
