#include "jobhistory.h"

#include "jobs/speedbook.h"
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
/// A leader that was missed longer before an election than this was not missed
/// for the one that this election replaced.
constexpr absl::Duration LongestElection = absl::Seconds(8);

class Reader {
public:
  void take(const LoggedEvent &e) {
    const absl::Time at = absl::FromUnixMicros(e.AtUs);
    Site.From = std::min(Site.From, at);
    Site.To = std::max(Site.To, at);
    const std::string name = textIn(e.Fields, "name");
    if (name == "process.started")
      Domains[textIn(e.Fields, "proc")] = textIn(e.Fields, "domain");
    else if (absl::StartsWith(name, "leader.") || name == "worker.joined")
      takeLeader(name, e, at);
    else if (name == "store.lost" || name == "store.regained")
      takeStore(name == "store.lost", textIn(e.Fields, "proc"), at);
    else if (name == "worker.life_began")
      Hosts[textIn(e.Fields, "worker")] = textIn(e.Fields, "proc");
    else if (name == "call.answered")
      takeCall(e, at);
    else if (name == "job.promised")
      takePromise(e);
    else if (name == "job.ended")
      takeJobEnd(e, at);
    else if (absl::StartsWith(name, "run."))
      takeRun(name, e, at);
    else if (name == "order.carried_out" &&
             textIn(e.Fields, "outcome") == "started")
      takeRun("run.started", e, at);
  }

  SiteHistory finish() {
    for (auto &[process, from] : StoreLostAt)
      Site.WithoutStore[process].push_back({from, Site.To});
    if (LeaderlessFrom)
      Site.WithoutLeader.push_back({*LeaderlessFrom, Site.To});
    learnSpeeds();
    return std::move(Site);
  }

private:
  // Whether a leader that somebody misses is gone shows only when the next one
  // is elected.
  void takeLeader(const std::string &name, const LoggedEvent &e,
                  absl::Time at) {
    if (name == "leader.unreachable" || name == "leader.lost") {
      Missed.push_back(at);
    } else if (name == "leader.elected") {
      Site.Leaders[at] = textIn(e.Fields, "proc");
      auto since =
          std::find_if(Missed.begin(), Missed.end(),
                       [&](absl::Time t) { return at - t < LongestElection; });
      if (!LeaderlessFrom)
        LeaderlessFrom = since == Missed.end() ? at : *since;
      ElectedAt = at;
      Missed.clear();
    } else if (name == "worker.joined" && LeaderlessFrom && ElectedAt) {
      Site.WithoutLeader.push_back({*LeaderlessFrom, at});
      LeaderlessFrom.reset();
    }
  }

  void takeStore(bool lost, const std::string &process, absl::Time at) {
    auto it = StoreLostAt.find(process);
    if (lost) {
      StoreLostAt.emplace(process, at);
    } else if (it != StoreLostAt.end()) {
      Site.WithoutStore[process].push_back({it->second, at});
      StoreLostAt.erase(it);
    }
  }

  JobHistory &job(const std::string &id) {
    JobHistory &j = Site.Jobs[id];
    j.Id = id;
    return j;
  }

  void takeCall(const LoggedEvent &e, absl::Time at) {
    const std::string call = textIn(e.Fields, "call");
    const std::string id = textIn(e.Fields, "job");
    const std::string result = textIn(e.Fields, "result");
    if (call == "state" && result == "ok") {
      auto known = Site.Jobs.find(id);
      if (known != Site.Jobs.end() && known->second.Ended &&
          !known->second.Shown && textIn(e.Fields, "state") != "running")
        known->second.Shown = at;
      return;
    }
    if (call != "submit")
      return;
    JobHistory &j = job(id);
    const absl::Time began =
        at - absl::Milliseconds(numberIn(e.Fields, "took_ms"));
    j.FirstCall = std::min(j.FirstCall, began);
    if (j.Accepted)
      return;
    j.CallResult = result;
    j.CallWhy = textIn(e.Fields, "why");
    j.Domain = Domains[textIn(e.Fields, "proc")];
    if (j.Queue.empty())
      j.Queue = textIn(e.Fields, "queue");
    if (result != "ok")
      return;
    j.Accepted = at;
    j.Priority = static_cast<int>(numberIn(e.Fields, "priority"));
    j.Organisation = textIn(e.Fields, "organisation");
  }

  void takePromise(const LoggedEvent &e) {
    JobHistory &j = job(textIn(e.Fields, "job"));
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
      takeStep(j, step);
    for (absl::string_view step :
         absl::StrSplit(textIn(e.Fields, "asked"), "; "))
      takeAsked(j, std::string(step));
  }

  // "waves=2 after=0,1", as written by jobs::stepsText().
  static void takeStep(JobHistory &j, absl::string_view step) {
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
      for (absl::string_view one : absl::StrSplit(part.second, ','))
        if (absl::SimpleAtoi(one, &number))
          after.push_back(number);
    }
    j.Waves.push_back(waves);
    j.After.push_back(std::move(after));
  }

  // "4x7500m/10992MB/8acc est=1020ms gang", as written by core::summary().
  static void takeAsked(JobHistory &j, const std::string &step) {
    long long count = 0;
    long long milliCores = 0;
    long long memoryMb = 0;
    long long accelerators = 0;
    if (std::sscanf(step.c_str(), "%lldx%lldm/%lldMB/%lldacc", &count,
                    &milliCores, &memoryMb, &accelerators) != 4)
      return;
    j.Weight.push_back(static_cast<double>(milliCores) / 1000 +
                       CoresPerAccelerator * static_cast<double>(accelerators));
    j.Checkpoints.push_back(absl::StrContains(step, " checkpoints"));
    j.OneRack.push_back(absl::StrContains(step, " same_rack"));
    j.Gang.push_back(absl::StrContains(step, " gang"));
  }

  void takeJobEnd(const LoggedEvent &e, absl::Time at) {
    JobHistory &j = job(textIn(e.Fields, "job"));
    j.Ended = at;
    j.State = textIn(e.Fields, "why");
  }

  RunHistory *run(const LoggedEvent &e) {
    core::TaskId id;
    if (!core::parseTaskName(textIn(e.Fields, "task"), id))
      return nullptr;
    const int64_t number = numberIn(e.Fields, "run");
    std::vector<RunHistory> &runs = job(id.Job).Tasks[id];
    auto it = std::find_if(runs.begin(), runs.end(), [&](const RunHistory &r) {
      return r.Run == number;
    });
    if (it != runs.end())
      return &*it;
    runs.push_back(
        {number, textIn(e.Fields, "worker"), {}, {}, {}, {}, "", ""});
    return &runs.back();
  }

  void takeRun(const std::string &name, const LoggedEvent &e, absl::Time at) {
    RunHistory *r = run(e);
    if (r == nullptr)
      return;
    const std::string why = textIn(e.Fields, "why");
    if (name == "run.placed") {
      r->Placed = at;
    } else if (name == "run.started" && !r->Started) {
      r->Started = at;
    } else if (name == "run.stopping" && !r->StopAsked) {
      r->StopAsked = at;
      r->StopWhy = why;
      noteBeneficiary(why, at);
    } else if (name == "run.stands_still") {
      r->StopWhy = why;
    } else if (name == "run.ended" && !r->Ended) {
      r->Ended = at;
      r->How = why;
    } else if ((name == "run.settled" || name == "run.refused") && !r->Ended) {
      r->Ended = at;
      r->How = r->Started ? "lost" : "refused";
    }
  }

  void noteBeneficiary(const std::string &why, absl::Time at) {
    if (absl::StartsWith(why, MakesRoomFor))
      job(why.substr(MakesRoomFor.size())).StopsForIt.push_back(at);
  }

  // Workers are compared by tasks of one step, as the leader does; a gang's
  // members end together and tell nothing.
  void learnSpeeds() {
    jobs::SpeedBook speeds;
    for (const auto &[id, job] : Site.Jobs)
      for (const auto &[task, runs] : job.Tasks) {
        const auto step = static_cast<size_t>(task.Step);
        if (runs.size() != 1 || runs[0].How != "done" || !runs[0].Started ||
            step >= job.Gang.size() || job.Gang[step])
          continue;
        speeds.took(id + "." + std::to_string(task.Step), hostOf(runs[0]),
                    *runs[0].Ended - *runs[0].Started);
      }
    for (const auto &[id, job] : Site.Jobs)
      for (const auto &[task, runs] : job.Tasks)
        for (const RunHistory &run : runs)
          if (speeds.isSlow(hostOf(run)))
            Site.Slowness[run.Worker] = speeds.slowness(hostOf(run));
  }

  std::string hostOf(const RunHistory &run) const {
    auto it = Hosts.find(run.Worker);
    return it == Hosts.end() ? run.Worker : it->second;
  }

  SiteHistory Site;
  /// The agent beside a worker.
  std::map<std::string, std::string> Hosts;
  std::map<std::string, std::string> Domains;
  std::map<std::string, absl::Time> StoreLostAt;
  std::vector<absl::Time> Missed;
  std::optional<absl::Time> LeaderlessFrom;
  std::optional<absl::Time> ElectedAt;
};

} // namespace

SiteHistory historyOf(const std::vector<LoggedEvent> &events) {
  Reader reader;
  for (const LoggedEvent &e : events)
    reader.take(e);
  return reader.finish();
}

} // namespace oriolebay::losses
