#pragma once

#include "jobs/jobscheduler.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace oriolebay::jobs {

/// A site in memory for tests of the scheduler: workers that run what they are
/// ordered, a store that keeps what is written, and a clock that the test
/// moves. Everything is deterministic.
class SimSite {
public:
  explicit SimSite(SchedulerPolicy policy = {});

  struct Run {
    endpoints::StartOrder Order;
    absl::Time Began;
    absl::Duration Needs;
    absl::Duration Worked = absl::ZeroDuration();
    bool Stopping = false;
    absl::Time StopAt = absl::InfiniteFuture();
  };
  struct Worker {
    endpoints::WorkerState State;
    std::string Agent;
    int64_t Sequence = 0;
    int64_t FenceSeen = 0;
    int64_t NextEnd = 1;
    int64_t SeenUpto = 0;
    std::map<RunId, Run> Runs;
    std::vector<endpoints::EndedTask> Ended;
    std::vector<endpoints::OrderResult> Results;
    /// What the agent was told of its worker's speed last.
    endpoints::LearnedSpeed Speed;
    /// Times that work takes there against a sound worker.
    double Slowness = 1;
    /// Every run fails after a moment.
    bool FailsAll = false;
    /// Runs make no progress and never end.
    bool Hangs = false;
    /// Nothing gets through in either direction.
    bool CutOff = false;
    /// Orders are swallowed.
    bool LosesOrders = false;
    absl::Time LeavesAt = absl::InfiniteFuture();
    absl::Time CrashesAt = absl::InfiniteFuture();
    /// Earlier lives, as the agent beside it tells of them.
    std::vector<endpoints::LifeEnd> EndedLives;
  };

  /// Adds a worker with the resources of a whole one of the Brno site.
  Worker &addWorker(const std::string &life, const std::string &rack,
                    core::Resources capacity = {32000, 65536, 8});
  Worker &worker(const std::string &life) { return Workers.at(life); }
  /// The worker dies and comes back as another life, or not at all.
  void crash(const std::string &life, const std::string &newLife = "");
  /// The worker crashes by itself: its agent notices, and it is back as another
  /// life of its host after BackAfter.
  void fall(const std::string &life);
  /// The worker has another capacity from now on, and says so.
  void shrink(const std::string &life, core::Resources capacity);
  /// The worker says that it drains, and is gone after notice with all that
  /// still runs there.
  void leave(const std::string &life, absl::Duration notice);

  void configure(core::SiteConfig config);
  /// Hands a job in, as an entry would store it.
  void submit(core::JobSpec spec, int priority = 1, int attempts = 4);
  void cancel(const std::string &jobId);

  /// Moves the clock, in steps of StepMs.
  void runFor(absl::Duration time);
  /// Runs until all jobs are over; false when that takes longer than limit.
  bool runUntilOver(absl::Duration limit);
  /// A new leader takes over from the store's records alone.
  void changeLeader();

  absl::Time now() const { return Now; }
  JobScheduler &scheduler() { return *Scheduler; }
  JobState state(const std::string &jobId) const;
  /// From handing in to the first start, and to the end.
  std::optional<absl::Duration> waited(const std::string &jobId) const;
  std::optional<absl::Duration> took(const std::string &jobId) const;
  /// Where the tasks of a job run now.
  std::multiset<std::string> placesOf(const std::string &jobId) const;
  /// Core-seconds of work that was stopped or lost, an accelerator as eight
  /// cores.
  double wasted() const { return Wasted; }
  int starts() const { return Starts; }
  /// How many workers have crashed under the task by its own doing.
  int crashesUnder(const std::string &task) const;
  const std::vector<std::string> &violations() const { return Violations; }

  /// How long a task works; the default is its estimate.
  std::function<absl::Duration(const core::TaskId &, const core::StepSpec &)>
      Work;
  /// Whether this run fails by its own fault.
  std::function<bool(const core::TaskId &, int64_t run)> FailsItself;
  /// Whether the task crashes each worker that starts it, CrashAfter its start.
  std::function<bool(const core::TaskId &)> CrashesWorker;
  static constexpr absl::Duration CrashAfter = absl::Milliseconds(10);
  /// From a crash until its agent tells, and until the worker is back.
  static constexpr absl::Duration NoticedAfter = absl::Milliseconds(460);
  absl::Duration BackAfter = absl::Seconds(2);
  /// While set, writes get no answer and are not made.
  bool StoreDown = false;
  /// While set, writes are made but their answers are lost.
  bool StoreLosesAnswers = false;
  std::vector<Decision> Log;

  static constexpr int StepMs = 10;
  static constexpr int ReportEveryMs = 500;
  /// How often the scheduler's timers are served.
  int TickEveryMs = StepMs;
  /// How long a stop takes.
  absl::Duration StopTakes = absl::Milliseconds(200);
  /// Where it differs from task to task.
  std::function<absl::Duration(const core::TaskId &)> StopTakesOf;
  static constexpr int RestoreMs = 600;
  static constexpr absl::Duration CheckpointEvery = absl::Seconds(1);

private:
  struct Stored {
    JobRecord Record;
    int64_t RecordRevision = 0;
    std::string Progress;
    int64_t ProgressRevision = 0;
    absl::Time HandedIn;
    std::optional<absl::Time> FirstStart;
    std::optional<absl::Time> Over;
  };

  /// Members of a gang's run that are there, as of this step.
  struct GangRun {
    int Present = 0;
    std::set<std::string> Racks;
  };
  using GangKey = std::tuple<std::string, int, int, int64_t>;
  /// A worker that has crashed and is not back.
  struct Fallen {
    Worker Before;
    absl::Time NoticedAt;
    absl::Time BackAt;
    bool Noticed = false;
  };

  static GangKey gangKey(const core::TaskId &id, int64_t run);
  void listGangs();
  void step();
  void pump();
  void work(Worker &worker);
  void goAway(const std::string &life);
  void serveFallen();
  void countStart(const std::string &task);
  absl::Duration saved(const Run &run, const core::TaskId &id,
                       bool byStop) const;
  std::string runningSaved(const Run &run, const core::TaskId &id) const;
  void end(Worker &worker, const RunId &run, endpoints::RunEnd how);
  void report(Worker &worker);
  void obey(Worker &worker, const endpoints::WorkerOrders &orders);
  void checkRoom(const Worker &worker);
  void checkOneRun(const endpoints::StartOrder &order);
  bool gangPresent(const core::TaskId &id, int64_t run) const;
  bool gangSpread(const core::TaskId &id, int64_t run) const;
  const core::StepSpec &specOf(const core::TaskId &id) const;

  SchedulerPolicy Policy;
  absl::Time Now = absl::UnixEpoch() + absl::Hours(1);
  int64_t Revision = 100;
  int64_t Epoch = 0;
  std::unique_ptr<JobScheduler> Scheduler;
  std::shared_ptr<const core::SiteConfig> Config;
  std::map<std::string, Worker> Workers;
  std::map<std::string, Stored> Jobs;
  std::set<std::string> DoneTasks;
  std::map<GangKey, GangRun> Gangs;
  std::vector<Fallen> Down;
  std::map<std::string, int> CrashesUnder;
  std::map<std::string, int> StartsAfterThird;
  double Wasted = 0;
  int Starts = 0;
  std::vector<std::string> Violations;
};

/// A job of one step.
core::JobSpec jobOf(const std::string &id, core::StepSpec step,
                    const std::string &organisation = "org-a");

} // namespace oriolebay::jobs
