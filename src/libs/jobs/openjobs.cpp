#include "openjobs.h"

namespace oriolebay::jobs {

OpenJobs::Id OpenJobs::add(const std::string &job, absl::Time until) {
  Writes[++LastId] = {job, until};
  ++WritesOfJob[job];
  return LastId;
}

void OpenJobs::remove(Id id) {
  auto it = Writes.find(id);
  if (it == Writes.end())
    return;
  auto count = WritesOfJob.find(it->second.Job);
  if (--count->second == 0)
    WritesOfJob.erase(count);
  Writes.erase(it);
}

bool OpenJobs::contains(const std::string &job, absl::Time now) {
  while (!Writes.empty() && Writes.begin()->second.Until <= now)
    remove(Writes.begin()->first);
  return WritesOfJob.count(job) > 0;
}

} // namespace oriolebay::jobs
