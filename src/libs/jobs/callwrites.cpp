#include "callwrites.h"

#include <algorithm>
#include <utility>

namespace oriolebay::jobs {

void CallWrites::recordSent(int64_t configRevision) {
  PendingRevision = configRevision;
  ++SentCount;
}

void CallWrites::recordOutcome(platform::StoreStatus status) {
  const int64_t revision = std::exchange(PendingRevision, 0);
  if (status != platform::StoreStatus::Unknown)
    return;
  ++UnansweredCount;
  OpenRevision = std::max(OpenRevision, revision);
}

void CallWrites::recordNothingStored(int64_t configRevision) {
  if (OpenRevision < configRevision)
    OpenRevision = 0;
}

void CallWrites::settle() {
  PendingRevision = 0;
  OpenRevision = 0;
}

bool CallWrites::canBeSettledBy(int64_t configRevision) const {
  return openRevision() < configRevision;
}

int64_t CallWrites::openRevision() const {
  return std::max(PendingRevision, OpenRevision);
}

bool isNeverRun(CallResult result) {
  return result == CallResult::NotDone || result == CallResult::NoRoom;
}

bool isRefusal(CallResult result) {
  return result != CallResult::Ok && result != CallResult::Open;
}

} // namespace oriolebay::jobs
