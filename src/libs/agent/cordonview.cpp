#include "cordonview.h"

#include <utility>

namespace oriolebay::agent {

// The leader measures the age when it answers, which is not before the report
// was sent. The view is therefore at least as new as assumed here.
bool CordonView::apply(const endpoints::ReportAck &ack, absl::Time sentAt) {
  if (ack.CordonAgeMs < 0)
    return false;
  const absl::Time knownUntil = sentAt - absl::Milliseconds(ack.CordonAgeMs);
  if (knownUntil < KnownUntil)
    return false;
  KnownUntil = knownUntil;
  return std::exchange(IsCordoned, ack.Cordoned) != ack.Cordoned;
}

CordonView::Permission CordonView::permission(absl::Time now) const {
  if (IsCordoned)
    return Permission::Cordoned;
  return now - KnownUntil <= MaxAge ? Permission::Granted : Permission::Unknown;
}

} // namespace oriolebay::agent
