#include "openjobs.h"

namespace oriolebay::jobs {

OpenJobs::Id OpenJobs::add(const std::string &job, absl::Time until,
                           absl::Time now) {
  removeEnded(now);
  Calls[++LastId] = {job, until};
  Ends.insert({until, LastId});
  ++CallsOfJob[job];
  return LastId;
}

void OpenJobs::remove(Id id) {
  auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  auto count = CallsOfJob.find(it->second.Job);
  if (--count->second == 0)
    CallsOfJob.erase(count);
  Ends.erase({it->second.Until, id});
  Calls.erase(it);
}

bool OpenJobs::contains(const std::string &job, absl::Time now) {
  removeEnded(now);
  return CallsOfJob.count(job) > 0;
}

void OpenJobs::removeEnded(absl::Time now) {
  while (!Ends.empty() && Ends.begin()->first <= now)
    remove(Ends.begin()->second);
}

} // namespace oriolebay::jobs
