#include "steptimes.h"

#include <algorithm>
#include <cstddef>

namespace oriolebay::losses::Internal {

namespace {

/// A run whose duration exceeds the median of comparable runs by this factor
/// was on a slow worker. Runs on healthy workers differ by less.
constexpr double SlowRunFactor = 2.0;

/// Returns the run that completed the task, or null.
const RunHistory *findDoneRun(const Runs &runs) {
  auto it = std::find_if(runs.begin(), runs.end(), isDone);
  return it == runs.end() ? nullptr : &*it;
}

} // namespace

bool isDone(const RunHistory &run) {
  return run.EndState == "done" && run.Ended && run.Started;
}

absl::Duration durationOf(const RunHistory &run) {
  return *run.Ended - run.Started.value_or(*run.Ended);
}

bool flagOf(const std::vector<bool> &flags, int step) {
  const auto s = static_cast<size_t>(step);
  return s < flags.size() && flags[s];
}

bool isSaved(const RunHistory &run, bool checkpoints) {
  return checkpoints && run.EndState == "stopped" && run.Started && run.Ended;
}

StepTimes::StepTimes(const JobHistory &job, const SiteHistory &site,
                     int occurrence, int step)
    : Site(site), Gang(flagOf(job.Gang, step)) {
  for (const auto &[id, runs] : job.Tasks) {
    if (id.Step != step || id.Occurrence != occurrence)
      continue;
    const RunHistory *done = findDoneRun(runs);
    if (done == nullptr)
      continue;
    Durations.push_back(
        workDurationOf(runs, *done, flagOf(job.Checkpoints, step)));
    MaxSlowness = std::max(MaxSlowness, slowness(*done));
    const bool later = Last == nullptr || *done->Ended > *Last->Ended;
    // Members of a gang end together, so that one of them represents all.
    if (Last == nullptr || (Gang ? !later : later)) {
      Last = done;
      LastTask = id;
    }
  }
}

absl::Duration StepTimes::healthyDuration() const {
  if (Durations.empty())
    return absl::ZeroDuration();
  const absl::Duration longest =
      *std::max_element(Durations.begin(), Durations.end());
  // A gang is as slow as its slowest member.
  if (Gang)
    return longest / MaxSlowness;
  if (Durations.size() < 3)
    return longest;
  std::vector<absl::Duration> sorted = Durations;
  std::sort(sorted.begin(), sorted.end());
  return std::min(longest, sorted[sorted.size() / 2] * SlowRunFactor);
}

double StepTimes::slowness(const RunHistory &run) const {
  auto it = Site.Slowness.find(run.Worker);
  return it == Site.Slowness.end() ? 1 : it->second;
}

absl::Duration StepTimes::workDurationOf(const Runs &runs,
                                         const RunHistory &done,
                                         bool checkpoints) const {
  auto healthyDuration = [&](const RunHistory &run) {
    return Gang ? durationOf(run) : durationOf(run) / slowness(run);
  };
  absl::Duration work = healthyDuration(done);
  for (const RunHistory &run : runs)
    if (isSaved(run, checkpoints))
      work += healthyDuration(run);
  return work;
}

} // namespace oriolebay::losses::Internal
