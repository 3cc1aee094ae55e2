#include "attribution.h"

#include "steptimes.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <cstddef>
#include <set>

namespace oriolebay::losses {

using Internal::durationOf;
using Internal::isSaved;
using Internal::StepTimes;

namespace {

/// When runs of two jobs fail on the same worker within this time, the worker
/// is at fault and not the jobs.
constexpr absl::Duration WorkerFaultWindow = absl::Seconds(6);
/// Multiple of a job's due time up to which a late result still has some value.
constexpr int64_t MaxLatenessFactor = 3;

/// Returns whether a run of another job failed on the same worker at about the
/// same time, so that the failure is the worker's fault.
bool isWorkerAtFault(const std::string &job, const RunHistory &failed,
                     const SiteHistory &site) {
  return std::any_of(site.Jobs.begin(), site.Jobs.end(), [&](const auto &j) {
    if (j.first == job)
      return false;
    return std::any_of(
        j.second.Tasks.begin(), j.second.Tasks.end(), [&](const auto &task) {
          return std::any_of(
              task.second.begin(), task.second.end(), [&](const RunHistory &r) {
                return r.Worker == failed.Worker && r.EndState == "failed" &&
                       r.Ended &&
                       absl::AbsDuration(*r.Ended - *failed.Ended) <
                           WorkerFaultWindow;
              });
        });
  });
}

/// Returns the time that the step's tasks lost by failures of their own: the
/// maximum over the tasks.
absl::Duration timeLostToOwnFailures(const JobHistory &job, int occurrence,
                                     int step, const SiteHistory &site) {
  absl::Duration maxLost = absl::ZeroDuration();
  for (const auto &[id, runs] : job.Tasks) {
    if (id.Step != step || id.Occurrence != occurrence)
      continue;
    absl::Duration lost = absl::ZeroDuration();
    for (const RunHistory &run : runs)
      if (run.EndState == "failed" && run.Ended && run.Started &&
          !isWorkerAtFault(job.Id, run, site))
        lost += durationOf(run);
    maxLost = std::max(maxLost, lost);
  }
  return maxLost;
}

Outcome outcomeOf(const JobHistory &job, absl::Duration took,
                  absl::Duration due) {
  if (job.State == "cancelled")
    return Outcome::Cancelled;
  if (job.State == "failed")
    return Outcome::Failed;
  static const std::set<std::string> notAllowed = {"bad_key", "unknown_queue",
                                                   "invalid", "id_taken"};
  if (!job.Accepted && notAllowed.count(job.CallResult) != 0)
    return Outcome::NotAllowed;
  if (!job.Accepted)
    return Outcome::Refused;
  if (job.State.empty())
    return Outcome::Open;
  if (took <= due)
    return Outcome::InTime;
  return took <= due * MaxLatenessFactor ? Outcome::Late : Outcome::Worthless;
}

} // namespace

bool isOwed(Outcome outcome) {
  return outcome != Outcome::Cancelled && outcome != Outcome::NotAllowed;
}

absl::Duration dueAfter(const JobHistory &job, const SiteHistory &site) {
  std::vector<absl::Duration> pathLengths(job.Waves.size(),
                                          absl::ZeroDuration());
  absl::Duration longestPath = absl::ZeroDuration();
  for (size_t s = 0; s < job.Waves.size(); ++s) {
    const int step = static_cast<int>(s);
    absl::Duration longestPredecessor = absl::ZeroDuration();
    for (int after : job.After[s])
      longestPredecessor =
          std::max(longestPredecessor, pathLengths[static_cast<size_t>(after)]);
    pathLengths[s] =
        longestPredecessor +
        StepTimes(job, site, 0, step).healthyDuration() * job.Waves[s] +
        timeLostToOwnFailures(job, 0, step, site);
    longestPath = std::max(longestPath, pathLengths[s]);
  }
  return longestPath * job.Stretch + job.Target;
}

Cause Account::mainCause() const {
  std::map<Cause, absl::Duration> sums;
  for (const Segment &s : Path)
    if (s.SegmentCause != Cause::Working)
      sums[s.SegmentCause] += s.length();
  auto largest = std::max_element(
      sums.begin(), sums.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  return largest == sums.end() ? Cause::Working : largest->first;
}

Account accountOf(const JobHistory &job, const SiteHistory &site) {
  Account account;
  account.Job = job.Id;
  account.Path = criticalPath(job, site);
  account.Waits = waitsByReason(job, account.Path);
  account.Due = dueAfter(job, site);
  if (job.Ended)
    account.Took = job.EndShown.value_or(*job.Ended) - job.FirstCall;
  account.Result = outcomeOf(job, account.Took, account.Due);
  return account;
}

std::vector<DiscardedWork> discardedWorkOf(const JobHistory &job) {
  std::vector<DiscardedWork> out;
  for (const auto &[id, runs] : job.Tasks) {
    const auto step = static_cast<size_t>(id.Step);
    if (step >= job.CoresPerTask.size())
      continue;
    for (const RunHistory &run : runs) {
      // Runs that were completed, saved or failed are not counted. A member of
      // a completed gang may have ended in another way than the gang did.
      if (!run.Ended || !run.Started || run.EndState == "done" ||
          run.EndState == "failed" || isSaved(run, job.Checkpoints[step]))
        continue;
      DiscardedWork w{job.Id,     run.Worker, run.EndState, run.StopReason, "",
                      *run.Ended, 0};
      if (absl::StartsWith(run.StopReason, CapacityStopPrefix))
        w.ForJob = run.StopReason.substr(CapacityStopPrefix.size());
      w.CoreSeconds =
          absl::ToDoubleSeconds(durationOf(run)) * job.CoresPerTask[step];
      out.push_back(std::move(w));
    }
  }
  return out;
}

} // namespace oriolebay::losses
