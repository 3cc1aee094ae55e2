#include "jobhistory.h"

#include "jobs/waitreason.h"
#include "jobs/workerspeedestimator.h"
#include "utils/jsonfields.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdio>

namespace oriolebay::losses {

using eventlog::LoggedEvent;
using utils::numberIn;
using utils::textIn;

namespace {

constexpr double CoresPerAccelerator = 8;
/// Maximum time between an event that reports the loss of the leader and the
/// election that follows from it. Older events are not related to the election.
constexpr absl::Duration MaxElectionDelay = absl::Seconds(8);

/// Builds a SiteHistory from events in the order of time.
class HistoryReader {
public:
  void handleEvent(const LoggedEvent &e) {
    const absl::Time at = absl::FromUnixMicros(e.AtUs);
    Site.From = std::min(Site.From, at);
    Site.To = std::max(Site.To, at);
    const std::string name = textIn(e.Fields, "name");
    if (name == "process.started")
      DomainByProcess[textIn(e.Fields, "proc")] = textIn(e.Fields, "domain");
    else if (absl::StartsWith(name, "leader.") || name == "worker.joined")
      handleLeaderEvent(name, e, at);
    else if (name == "store.lost" || name == "store.regained")
      handleStoreEvent(name == "store.lost", textIn(e.Fields, "proc"), at);
    else if (name == "worker.life_began")
      AgentByWorker[textIn(e.Fields, "worker")] = textIn(e.Fields, "proc");
    else if (name == "call.answered")
      handleCallAnswered(e, at);
    else if (name == "job.promised")
      handleDeadlineSet(e);
    else if (name == "step.waiting" || name == "step.waits_beside_free_workers")
      handleWait(e, at);
    else if (name == "job.ended")
      handleJobEnded(e, at);
    else if (absl::StartsWith(name, "run."))
      handleRunEvent(name, e, at);
    else if (name == "order.carried_out" &&
             textIn(e.Fields, "outcome") == "started")
      handleRunEvent("run.started", e, at);
  }

  SiteHistory finish() {
    for (auto &[process, from] : StoreLostSince)
      Site.StoreOutagePeriods[process].push_back({from, Site.To});
    if (LeaderlessFrom)
      Site.LeaderlessPeriods.push_back({*LeaderlessFrom, Site.To});
    estimateWorkerSpeeds();
    return std::move(Site);
  }

private:
  // Whether a leader that a process reports as unreachable is really gone is
  // known only when the next one is elected.
  void handleLeaderEvent(const std::string &name, const LoggedEvent &e,
                         absl::Time at) {
    if (name == "leader.unreachable" || name == "leader.lost") {
      LeaderLossTimes.push_back(at);
    } else if (name == "leader.elected") {
      Site.Leaders[at] = textIn(e.Fields, "proc");
      auto firstLoss =
          std::find_if(LeaderLossTimes.begin(), LeaderLossTimes.end(),
                       [&](absl::Time t) { return at - t < MaxElectionDelay; });
      if (!LeaderlessFrom)
        LeaderlessFrom = firstLoss == LeaderLossTimes.end() ? at : *firstLoss;
      ElectedAt = at;
      LeaderLossTimes.clear();
    } else if (name == "worker.joined" && LeaderlessFrom && ElectedAt) {
      Site.LeaderlessPeriods.push_back({*LeaderlessFrom, at});
      LeaderlessFrom.reset();
    }
  }

  void handleStoreEvent(bool lost, const std::string &process, absl::Time at) {
    auto it = StoreLostSince.find(process);
    if (lost) {
      StoreLostSince.emplace(process, at);
    } else if (it != StoreLostSince.end()) {
      Site.StoreOutagePeriods[process].push_back({it->second, at});
      StoreLostSince.erase(it);
    }
  }

  JobHistory &findOrAddJob(const std::string &id) {
    JobHistory &j = Site.Jobs[id];
    j.Id = id;
    return j;
  }

  void handleCallAnswered(const LoggedEvent &e, absl::Time at) {
    const std::string call = textIn(e.Fields, "call");
    const std::string id = textIn(e.Fields, "job");
    const std::string result = textIn(e.Fields, "result");
    if (call == "state" && result == "ok") {
      auto knownJob = Site.Jobs.find(id);
      if (knownJob != Site.Jobs.end() && knownJob->second.Ended &&
          !knownJob->second.EndShown && textIn(e.Fields, "state") != "running")
        knownJob->second.EndShown = at;
      return;
    }
    if (call != "submit")
      return;
    JobHistory &j = findOrAddJob(id);
    const absl::Time callStart =
        at - absl::Milliseconds(numberIn(e.Fields, "took_ms"));
    j.FirstCall = std::min(j.FirstCall, callStart);
    if (j.Accepted)
      return;
    j.CallResult = result;
    j.CallReason = textIn(e.Fields, "why");
    j.Domain = DomainByProcess[textIn(e.Fields, "proc")];
    if (j.Queue.empty())
      j.Queue = textIn(e.Fields, "queue");
    if (result != "ok")
      return;
    j.Accepted = at;
    j.Priority = static_cast<int>(numberIn(e.Fields, "priority"));
    j.Organisation = textIn(e.Fields, "organisation");
  }

  void handleDeadlineSet(const LoggedEvent &e) {
    JobHistory &j = findOrAddJob(textIn(e.Fields, "job"));
    if (!j.Waves.empty())
      return;
    j.Queue = textIn(e.Fields, "queue");
    j.Organisation = textIn(e.Fields, "organisation");
    j.Priority = static_cast<int>(numberIn(e.Fields, "priority"));
    j.Stretch =
        static_cast<double>(numberIn(e.Fields, "stretch_percent")) / 100;
    j.Target = absl::Milliseconds(numberIn(e.Fields, "target_ms"));
    for (absl::string_view step :
         absl::StrSplit(textIn(e.Fields, "steps"), "; "))
      parseWaves(j, step);
    for (absl::string_view step :
         absl::StrSplit(textIn(e.Fields, "asked"), "; "))
      parseResources(j, std::string(step));
  }

  // "waves=2 after=0,1", as written by jobs::stepsText().
  static void parseWaves(JobHistory &j, absl::string_view step) {
    int waves = 1;
    std::vector<int> after;
    for (absl::string_view word : absl::StrSplit(step, ' ')) {
      const std::pair<absl::string_view, absl::string_view> part =
          absl::StrSplit(word, absl::MaxSplits('=', 1));
      if (part.first == "waves" && !absl::SimpleAtoi(part.second, &waves))
        waves = 1;
      if (part.first != "after")
        continue;
      int number = 0;
      for (absl::string_view item : absl::StrSplit(part.second, ','))
        if (absl::SimpleAtoi(item, &number))
          after.push_back(number);
    }
    j.Waves.push_back(waves);
    j.After.push_back(std::move(after));
  }

  // "4x7500m/10992MB/8acc est=1020ms gang", as written by core::summary().
  static void parseResources(JobHistory &j, const std::string &step) {
    long long count = 0;
    long long milliCores = 0;
    long long memoryMb = 0;
    long long accelerators = 0;
    if (std::sscanf(step.c_str(), "%lldx%lldm/%lldMB/%lldacc", &count,
                    &milliCores, &memoryMb, &accelerators) != 4)
      return;
    j.CoresPerTask.push_back(static_cast<double>(milliCores) / 1000 +
                             CoresPerAccelerator *
                                 static_cast<double>(accelerators));
    j.Checkpoints.push_back(absl::StrContains(step, " checkpoints"));
    j.SameRack.push_back(absl::StrContains(step, " same_rack"));
    j.Gang.push_back(absl::StrContains(step, " gang"));
  }

  void handleWait(const LoggedEvent &e, absl::Time at) {
    const std::string id = textIn(e.Fields, "job");
    if (id.empty())
      return;
    JobHistory &j = findOrAddJob(id);
    j.WaitedForCordon |= textIn(e.Fields, "why") == jobs::WaitsForCordonReason;
    const std::string reason = textIn(e.Fields, "reason");
    const auto held = absl::Milliseconds(numberIn(e.Fields, "reason_ms"));
    if (!reason.empty())
      j.Waits.push_back({at, at - held, reason});
  }

  void handleJobEnded(const LoggedEvent &e, absl::Time at) {
    JobHistory &j = findOrAddJob(textIn(e.Fields, "job"));
    j.Ended = at;
    j.State = textIn(e.Fields, "why");
  }

  RunHistory *findOrAddRun(const LoggedEvent &e) {
    core::TaskId id;
    if (!core::parseTaskName(textIn(e.Fields, "task"), id))
      return nullptr;
    const int64_t number = numberIn(e.Fields, "run");
    std::vector<RunHistory> &runs = findOrAddJob(id.Job).Tasks[id];
    auto it = std::find_if(runs.begin(), runs.end(), [&](const RunHistory &r) {
      return r.Run == number;
    });
    if (it != runs.end())
      return &*it;
    runs.push_back(
        {number, textIn(e.Fields, "worker"), {}, {}, {}, {}, "", ""});
    return &runs.back();
  }

  void handleRunEvent(const std::string &name, const LoggedEvent &e,
                      absl::Time at) {
    RunHistory *r = findOrAddRun(e);
    if (r == nullptr)
      return;
    const std::string why = textIn(e.Fields, "why");
    if (name == "run.placed") {
      r->Placed = at;
    } else if (name == "run.started" && !r->Started) {
      r->Started = at;
    } else if (name == "run.stopping" && !r->StopRequested) {
      r->StopRequested = at;
      r->StopReason = why;
      recordStopForJob(why, at);
    } else if (name == "run.stands_still") {
      r->StopReason = why;
    } else if (name == "run.ended" && !r->Ended) {
      r->Ended = at;
      r->EndState = why;
    } else if ((name == "run.settled" || name == "run.refused") && !r->Ended) {
      r->Ended = at;
      r->EndState = r->Started ? "lost" : "refused";
    }
  }

  // Records the stop at the job for which it frees capacity, if there is one.
  void recordStopForJob(const std::string &why, absl::Time at) {
    if (absl::StartsWith(why, CapacityStopPrefix))
      findOrAddJob(why.substr(CapacityStopPrefix.size()))
          .StopsForJob.push_back(at);
  }

  // Workers are compared by tasks of the same step, as the leader does. The
  // members of a gang end together, so that their durations do not show which
  // worker is slow.
  void estimateWorkerSpeeds() {
    jobs::WorkerSpeedEstimator speeds;
    for (const auto &[id, job] : Site.Jobs)
      for (const auto &[task, runs] : job.Tasks) {
        const auto step = static_cast<size_t>(task.Step);
        if (runs.size() != 1 || runs[0].EndState != "done" ||
            !runs[0].Started || step >= job.Gang.size() || job.Gang[step])
          continue;
        speeds.recordRunDuration(id + "." + std::to_string(task.Step),
                                 agentOf(runs[0]),
                                 *runs[0].Ended - *runs[0].Started);
      }
    for (const auto &[id, job] : Site.Jobs)
      for (const auto &[task, runs] : job.Tasks)
        for (const RunHistory &run : runs)
          if (speeds.isSlow(agentOf(run)))
            Site.Slowness[run.Worker] = speeds.slowness(agentOf(run));
  }

  std::string agentOf(const RunHistory &run) const {
    auto it = AgentByWorker.find(run.Worker);
    return it == AgentByWorker.end() ? run.Worker : it->second;
  }

  SiteHistory Site;
  /// By worker: the agent that belongs to it.
  std::map<std::string, std::string> AgentByWorker;
  std::map<std::string, std::string> DomainByProcess;
  std::map<std::string, absl::Time> StoreLostSince;
  std::vector<absl::Time> LeaderLossTimes;
  std::optional<absl::Time> LeaderlessFrom;
  std::optional<absl::Time> ElectedAt;
};

} // namespace

SiteHistory historyOf(const std::vector<LoggedEvent> &events) {
  HistoryReader reader;
  for (const LoggedEvent &e : events)
    reader.handleEvent(e);
  return reader.finish();
}

} // namespace oriolebay::losses
