#include "unansweredwrites.h"

#include <algorithm>

namespace oriolebay::jobs {

UnansweredWrites::Id UnansweredWrites::add(absl::Time sentAt,
                                           absl::Time endsAt) {
  Writes[++LastId] = {sentAt, endsAt};
  return LastId;
}

void UnansweredWrites::remove(Id id) { Writes.erase(id); }

void UnansweredWrites::removeEndedBy(absl::Time time) {
  std::erase_if(Writes,
                [time](const auto &w) { return w.second.EndsAt <= time; });
}

absl::Time UnansweredWrites::oldestConfirmation(absl::Time receivedAt) const {
  const absl::Time newestEffect = receivedAt - SeenAfter;
  absl::Time oldest = absl::InfinitePast();
  for (const auto &[id, write] : Writes)
    if (write.SentAt < newestEffect)
      oldest = std::max(oldest, std::min(newestEffect, write.EndsAt));
  return oldest;
}

} // namespace oriolebay::jobs
