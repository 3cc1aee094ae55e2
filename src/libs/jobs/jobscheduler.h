#pragma once

#include "core/siteconfig.h"
#include "demandbook.h"
#include "fleet.h"
#include "jobrecord.h"
#include "progress.h"
#include "promise.h"
#include "speedbook.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oriolebay::jobs {

/// Bounds and weights of the scheduler.
struct SchedulerPolicy {
  FleetPolicy Fleet;
  ProgressPolicy Progress;
  SpeedPolicy Speed;
  /// An order that was not answered is sent again after this long.
  absl::Duration ResendAfter = absl::Milliseconds(400);
  /// After the election, tasks that earlier leaders may have kept alive at
  /// workers that never reported have certainly ended after this long.
  absl::Duration UnheardLostAfter = absl::Seconds(18);
  /// A gang that is spread over racks runs so many times as long, and so does
  /// a task away from its data.
  double RemoteFactor = 3.0;
  /// Finished jobs stay readable for this long.
  absl::Duration KeepFinished = absl::Seconds(150);
  /// Work that may be thrown away so that a job of priority 0 comes in time,
  /// beyond its organisation's guarantee, in core-seconds (an accelerator
  /// counts as eight cores): something for the smallest and a share of its own
  /// work. A late urgent answer is worth little to its caller, so that much is
  /// worth stopping; what is stopped may come late in its turn.
  double WasteForOwnWork = 0.2;
  double WasteForAny = 200;
  /// Workers that batch work leaves empty, as a share of what the urgent work
  /// is expected to ask for that comes while a stop takes.
  double Headroom = 1;
  /// Gangs that room is kept for at the same time while they wait: so many, and
  /// on a large site one for so many workers. One would let the next large gang
  /// starve; many would leave the site idle.
  int LeastKept = 2;
  int WorkersPerKept = 24;
  /// How long a stop takes.
  absl::Duration StopTakes = absl::Milliseconds(400);
  /// A job within its organisation's guarantee has room made for it by then
  /// after it was handed in, whatever that throws away.
  absl::Duration ReclaimAfter = absl::Milliseconds(1500);
  /// What stopping a run and starting it elsewhere takes, and how often that
  /// may be done to a task for its slowness.
  absl::Duration MoveCost = absl::Milliseconds(800);
  int MostMoves = 2;
  /// A leader knows all workers that live so long after its election: two
  /// periods of their reports. What a job was promised depends on their room.
  absl::Duration FleetKnownAfter = absl::Seconds(1);
  /// A task is given up once workers of so many hosts have crashed right after
  /// it had begun there, or so many workers on whatever hosts: a host may crash
  /// its workers by itself.
  size_t CrashedHostsToGiveUp = 2;
  size_t CrashesToGiveUp = 3;
  /// A host whose worker has crashed is not one to try a suspect on for so
  /// long.
  absl::Duration CrashRemembered = absl::Seconds(30);
  /// How long a gang's members wait for each other.
  absl::Duration GangWait = absl::Milliseconds(3000);
  /// The time of day in milliseconds since 1970, for jobs due at a time.
  std::function<int64_t()> WallMs = [] { return int64_t{0}; };
};

/// A job's progress to be written, under the condition that neither its record
/// nor its progress changed since.
struct ProgressWrite {
  std::string JobId;
  int64_t RecordRevision = 0;
  int64_t ProgressRevision = 0;
  JobProgress Progress;
  /// Progress as it is written.
  std::string Value;
};

/// A figure that a decision went by, for the log.
struct Input {
  const char *Name;
  int64_t Value = 0;
};

/// For the log: a decision and what decided it.
struct Decision {
  enum class Kind {
    Placed,
    Started,
    StartRefused,
    Stopping,
    Ended,
    Settled,
    JobEnded,
    WorkerJoined,
    WorkerLost,
    WorkerKeptOut,
    RunStandsStill,
    RunEvacuated,
    RunCrashedWorker,
    SuspectCleared,
    Waiting,
    Promised,
    RoomPlanned,
  };
  Kind What = Kind::Placed;
  std::string Job;
  std::string Task;
  int64_t Run = 0;
  std::string Worker;
  std::string Why;
  std::vector<Input> Inputs;
  /// What is no number: by name.
  std::map<std::string, std::string> Texts = {};

  /// The input of that name; zero without one.
  int64_t input(std::string_view name) const {
    for (const Input &i : Inputs)
      if (i.Name == name)
        return i.Value;
    return 0;
  }
};

/// Decides which task runs where, on facts from the store and the workers. It
/// has no threads, clock or sockets: each call takes the time (the boot clock),
/// takeWrites() says what to record and takeOrders() what to tell the agents.
/// Nothing is ordered before the store has it, and no end is acknowledged
/// before the store has it.
class JobScheduler {
public:
  JobScheduler(SchedulerPolicy policy, int64_t epoch, absl::Time electedAt);
  ~JobScheduler();
  JobScheduler(const JobScheduler &) = delete;
  JobScheduler &operator=(const JobScheduler &) = delete;

  // Facts from the store.
  void onConfig(std::shared_ptr<const core::SiteConfig> config);
  /// A job's record, new or changed; older revisions are ignored.
  void onRecord(const JobRecord &record, int64_t revision, absl::Time now);
  /// A job's progress as an earlier leader left it. Before anything else of
  /// the job happens.
  void onProgress(const std::string &jobId, const JobProgress &progress,
                  int64_t revision, absl::Time now);
  void onRecordRemoved(const std::string &jobId);

  // Facts from the workers.
  /// Returns the end number up to which all ends of this life are recorded.
  int64_t onReport(const endpoints::WorkerReport &report, absl::Time now);
  /// What is known of the speed of the worker beside an agent.
  endpoints::LearnedSpeed speedOf(const std::string &agent) const {
    return Speeds.learned(agent);
  }

  // The recorder.
  /// Jobs whose progress changed and that are not being written.
  std::vector<ProgressWrite> takeWrites();
  /// The write was made, or found to have been made, at revision.
  void onWritten(const std::string &jobId, int64_t version, int64_t revision,
                 absl::Time now);
  /// The write was not made, or may not have been; it is due again.
  void onNotWritten(const std::string &jobId);

  /// No earlier leader keeps tasks alive any more since gone.
  void onPredecessorsGone(absl::Time gone);

  /// Timers: resends, lost workers, due times. Call a few times a second.
  void tick(absl::Time now);
  /// Decides what to start and stop after all facts so far.
  void decide(absl::Time now);

  /// Orders by agent address.
  std::map<std::string, endpoints::WorkerOrders> takeOrders();
  std::vector<Decision> takeDecisions();
  /// Jobs that were completed or failed since this was last asked; their ends
  /// are being recorded.
  std::vector<std::string> takeEnding();
  /// Jobs that ended long enough ago to be removed from the store.
  std::vector<std::string> takeExpired(absl::Time now);

  /// How often decide() has looked at all that waits.
  int64_t passes() const { return Passes; }
  size_t activeJobs() const;
  int64_t epoch() const { return Epoch; }
  const Fleet &fleet() const { return Workers; }
  /// The progress as it stands, for tests.
  std::optional<JobProgress> progress(const std::string &jobId) const;

private:
  friend class Planner;
  friend class RunJudge;
  /// What the leader knows of a task's latest run beyond its record.
  enum class Phase {
    Idle,
    /// The start is being recorded; nothing was ordered.
    Recording,
    Ordered,
    /// Recorded by an earlier leader; whether it was ordered is not known.
    Adopted,
    Running
  };
  struct Task {
    TaskProgress Progress;
    Phase What = Phase::Idle;
    bool StopAsked = false;
    /// Version of the write that records the start.
    int64_t StartVersion = 0;
    absl::Time Began = absl::InfinitePast();
    /// This leader saw it begin.
    bool SawBegin = false;
    /// Its worker has listed the run.
    bool Listed = false;
    /// The start was sent to a life that has ended, and may be carried out by
    /// the next one under its id until then.
    absl::Time MayBeginUntil = absl::InfinitePast();
    /// If that one does not have it either, it has crashed the life it was sent
    /// to.
    bool CrashedUnlessThere = false;
    absl::Time LastOrder = absl::InfinitePast();
    int Percent = 0;
    absl::Time PercentAt = absl::InfinitePast();
    /// Its speed has been compared with that of its like.
    bool Compared = false;
    /// How long the run took that has done the work.
    absl::Duration Took = absl::ZeroDuration();
    /// How often it was moved because it crawled.
    int Moves = 0;
    std::set<WorkerLife> FailedOn;

    bool mayRun() const { return !Progress.Worker.empty(); }
    /// It may be why a worker crashed.
    bool isSuspect() const { return !Progress.CrashedAt.empty(); }
    /// Its worker has lived on for so long that its run did not crash it.
    bool outlived() const {
      return What == Phase::Running &&
             PercentAt - Began >= endpoints::CrashShowsWithin;
    }
  };
  using Step = std::vector<Task>;
  struct Job {
    JobRecord Record;
    int64_t RecordRevision = 0;
    int64_t ProgressRevision = 0;
    int64_t Version = 0;
    int64_t WrittenVersion = 0;
    JobState State = JobState::Queued;
    /// Value that State had in the last write that was made.
    JobState WrittenState = JobState::Queued;
    std::map<int, std::vector<Step>> Occurrences;
    absl::Time Arrived;
    absl::Time FinishedAt = absl::InfiniteFuture();
    bool Dirty = false;
    bool Writing = false;
    /// Ends to acknowledge once a write of this version was made.
    struct EndAck {
      int64_t Version = 0;
      WorkerLife Life;
      int64_t Number = 0;
    };
    std::vector<EndAck> EndAcks;
    /// Some task of it is a suspect.
    bool HasSuspects = false;
    bool WaitLogged = false;
    bool PromiseLogged = false;
    /// How room was last planned for a step, by occurrence and step; logged
    /// when it changes.
    std::map<std::pair<int, int>, const char *> RoomPlanLogged;

    /// As the planner's latest pass ranked it.
    int Rank = 0;

    bool over() const { return isFinal(State); }
    const core::StepSpec &specOf(const core::TaskId &id) const {
      return Record.Spec.Steps[static_cast<size_t>(id.Step)];
    }
    /// All tasks of the task's step; its occurrence must be there.
    const Step &stepOf(const core::TaskId &id) const {
      return Occurrences.at(id.Occurrence)[static_cast<size_t>(id.Step)];
    }
    Step &stepOf(const core::TaskId &id) {
      return Occurrences.at(id.Occurrence)[static_cast<size_t>(id.Step)];
    }
  };

  static JobProgress progressOf(const Job &job);
  Task *findTask(const core::TaskId &id);
  std::vector<Step> &occurrence(Job &job, int number);
  int dueOccurrences(const Job &job) const;
  const std::string &serviceOf(const Job &job) const;
  absl::Duration taskTime(const Job &job, const core::StepSpec &spec) const;
  Promise promiseOf(const Job &job) const;
  bool fleetKnown(absl::Time now) const {
    return now - ElectedAt >= Policy.FleetKnownAfter;
  }
  void notePromise(Job &job);
  static bool stepDone(const Step &step);
  static bool stepReady(const Job &job, const std::vector<Step> &steps,
                        size_t step);
  template <class F> void forEachTask(Job &job, F f) {
    core::TaskId id{job.Record.Spec.Id, 0, 0, 0};
    for (auto &[number, steps] : job.Occurrences)
      for (size_t s = 0; s < steps.size(); ++s)
        for (size_t i = 0; i < steps[s].size(); ++i) {
          id.Occurrence = number;
          id.Step = static_cast<int>(s);
          id.Index = static_cast<int>(i);
          f(static_cast<const core::TaskId &>(id), steps[s][i]);
        }
  }

  void takeLife(const WorkerLife &life);
  void loseUnheard(absl::Time now);
  void endUnheard(const endpoints::WorkerReport &report, absl::Time now);
  /// Next: the life that the same report names, which may be empty; null when
  /// time alone tells that all is over there.
  void loseLife(const endpoints::LifeEnd &end, const std::string &why,
                const WorkerLife *next, absl::Time now);
  bool mayStillBegin(const core::TaskId &id, const Task &task,
                     const endpoints::LifeEnd &end, const WorkerLife *next,
                     absl::Time now) const;
  void settleAtNextLife(Job &job, const core::TaskId &id, Task &task,
                        const WorkerLife &next, absl::Time now);
  void takeCrash(Job &job, const core::TaskId &id, Task &task);
  void clearOutlived(Job &job, const core::TaskId &id, Task &task);
  bool isGivenUp(const Task &task) const;
  bool crashedLately(const std::string &agent, absl::Time now) const;
  void takeRunning(const endpoints::WorkerReport &report, absl::Time now);
  void settleUnlisted(const endpoints::WorkerReport &report, absl::Time now);
  void takeEnd(const WorkerLife &life, const endpoints::EndedTask &end,
               absl::Time now);
  void takeResult(const WorkerLife &life, const endpoints::OrderResult &result,
                  absl::Time now);
  static std::string stepName(const core::TaskId &id);
  double slownessOf(const WorkerLife &life) const;
  void learnTime(const Job &job, const core::TaskId &id, Task &task,
                 absl::Time now);
  void acknowledge(Job &job, const WorkerLife &life, int64_t number);
  void runEnded(Job &job, const core::TaskId &id, Task &task,
                endpoints::RunEnd how, const std::string &saved,
                const WorkerLife &life, absl::Time now);
  void leaveWorker(Job &job, const core::TaskId &id, Task &task);
  void compareBySoFar(const core::TaskId &id, Task &task);
  void compareSpeed(const Job &job, const core::TaskId &id, Task &task,
                    absl::Duration whole);
  void watch(const core::TaskId &id, const Task &task, absl::Time now);
  void runAbsent(Job &job, const core::TaskId &id, Task &task,
                 const std::string &why);
  void gangEnded(Job &job, const core::TaskId &id, endpoints::RunEnd how);
  void requestStop(const core::TaskId &id, Task &task, const std::string &why);
  void stopStep(Job &job, int occurrence, int step, const std::string &why);
  void judgeJob(Job &job, absl::Time now);
  std::string givenUpFor(Job &job);
  bool isAway(const Job &job, const core::TaskId &id, const Task &task) const;
  void endJob(Job &job, JobState state, absl::Time now,
              const std::string &cause = "");
  void order(Job &job, const core::TaskId &id, Task &task, absl::Time now);
  void orderStop(const core::TaskId &id, Task &task, absl::Time now);
  void start(Job &job, const core::TaskId &id, const WorkerLife &life,
             const std::string &saved, int64_t run, int rank, absl::Time now);
  void note(Decision::Kind kind, const std::string &job,
            const std::string &task = "", int64_t run = 0,
            const std::string &worker = "", const std::string &why = "",
            std::vector<Input> inputs = {});
  int64_t heardMsAgo(const WorkerLife &life, absl::Time now) const;

  const SchedulerPolicy Policy;
  const int64_t Epoch;
  const absl::Time ElectedAt;
  /// From then on, tasks at workers that never reported have ended.
  absl::Time UnheardLostAt;
  Fleet Workers;
  ProgressWatch Progress;
  EstimateBook Estimates;
  SpeedBook Speeds;
  DemandBook Urgent;
  std::shared_ptr<const core::SiteConfig> Config;
  std::map<std::string, Job> Jobs;
  /// A life that a record names and that has not reported to this leader.
  struct UnheardLife {
    std::string Agent;
    /// Its tasks have ended by then; UnheardLostAt if that is not known.
    absl::Time Until = absl::InfiniteFuture();
  };
  std::map<WorkerLife, UnheardLife> Unheard;
  /// When the worker beside an agent last crashed.
  std::map<std::string, absl::Time> Crashes;
  /// Set by facts that may let something start.
  bool Changed = false;
  /// Something waits that time alone may let start: it is looked at again with
  /// the next tick.
  bool Waits = false;
  int64_t Passes = 0;
  std::map<std::string, endpoints::WorkerOrders> Orders;
  std::vector<Decision> Decisions;
  std::vector<std::string> Ending;
};

} // namespace oriolebay::jobs
