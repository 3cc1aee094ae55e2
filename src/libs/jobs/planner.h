#pragma once

#include "jobscheduler.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::jobs {

/// One pass over all that waits: which tasks start where now, what is stopped
/// to make room, and which workers are kept free for a gang. Works on the
/// scheduler's state and lives for one decide().
///
/// Order: work of priority 0 within its organisation's guarantee, other work
/// of priority 0, then by priority and arrival. Gangs start whole. A gang that
/// wants one rack waits for one unless no rack can ever hold it, because it
/// would run several times as long otherwise.
class Planner {
public:
  Planner(JobScheduler &scheduler, absl::Time now);
  void run();

private:
  using Job = JobScheduler::Job;
  using Task = JobScheduler::Task;

  /// A worker with what is free on it in this pass. Spare is what of it is not
  /// kept for a unit that comes first. Others may still use the rest if they
  /// are expected to end within KeptFor.
  struct Place {
    std::string Life;
    const WorkerView *View = nullptr;
    core::Resources Free;
    core::Resources Spare;
    absl::Duration KeptFor = absl::InfiniteDuration();
    /// Work takes longer there than on most workers.
    bool Slow = false;
  };
  /// What is placed as one: a gang, or the ready tasks of a step one by one.
  struct Unit {
    Job *Owner = nullptr;
    int Occurrence = 0;
    int Step = 0;
    std::vector<int> Tasks;
    /// 0: within a guarantee; 1: other work of priority 0; then priority + 1.
    int Rank = 0;
    /// Workers where it failed, while others could hold it.
    std::set<std::string> Avoid;

    const core::StepSpec &spec() const {
      return Owner->Record.Spec.Steps[static_cast<size_t>(Step)];
    }
    JobScheduler::Step &step() const { return Owner->stepOf(task(0)); }
    core::TaskId task(int index) const {
      return {Owner->Record.Spec.Id, Occurrence, Step, index};
    }
  };
  /// The place of each of a gang's tasks.
  using Layout = std::vector<size_t>;
  using RoomByPlace = std::map<size_t, core::Resources>;
  /// Running work whose end would give room: what it frees, and what its end
  /// costs (work thrown away by a stop) or how long it takes by itself.
  struct Release {
    Job *Owner = nullptr;
    int Occurrence = 0;
    int Step = 0;
    /// The task, or -1 for a whole gang.
    int Index = -1;
    int Rank = 0;
    double Waste = 0;
    absl::Duration Left = absl::ZeroDuration();
    RoomByPlace Frees = {};
  };
  /// Where a gang will stand once the releases have come.
  struct Plan {
    Layout Places;
    RoomByPlace Freed;
    std::vector<const Release *> Releases;
    double Waste = 0;
    absl::Duration Wait = absl::ZeroDuration();
  };

  void collectUnits();
  void collectTasks(Unit &unit, const JobScheduler::Step &step);
  void avoidFailed(Unit &unit, const JobScheduler::Step &step) const;
  int64_t couldHold(const Unit &unit) const;
  void rankJobs();
  int rankOf(const Job &job) const;
  void placeUnit(Unit &unit);
  bool placeGang(Unit &unit);
  void placeTasks(Unit &unit);
  void blocked(Unit &unit);
  bool isLarge(const Unit &unit) const;

  bool eligible(const Place &place, const Unit &unit) const;
  const core::Resources &room(const Place &place, const Unit &unit) const;
  int64_t fits(const Place &place, const Unit &unit, int64_t most) const;
  int onWorker(const Unit &unit, const std::string &life) const;
  std::vector<std::vector<size_t>> groups(const Unit &unit) const;
  bool wantsFast(const Unit &unit) const { return unit.Rank <= 1; }
  int64_t slowOnes(const Layout &places) const;
  std::optional<Layout> layout(const Unit &unit,
                               const std::vector<size_t> &group) const;
  bool couldEverFitOneRack(const Unit &unit) const;
  void startGang(Unit &unit, const Layout &places);
  void startTask(Unit &unit, int index, size_t place);

  std::vector<Release> releases(const Unit &unit, bool byStop) const;
  void addReleases(std::vector<Release> &out, Job &job, int occurrence,
                   int step, bool stoppingOnly) const;
  std::optional<Plan> planWith(const Unit &unit,
                               const std::vector<size_t> &group,
                               const std::vector<Release> &releases);
  void prune(const Unit &unit, const std::vector<size_t> &group, Plan &plan);
  template <class Cost>
  std::optional<Plan> leastPlan(const Unit &unit,
                                const std::vector<Release> &all,
                                Cost Plan::*cost);
  std::optional<Plan> cheapestStops(const Unit &unit,
                                    const std::vector<Release> &all);
  std::optional<Plan> firstEnds(const Unit &unit,
                                const std::vector<Release> &all);
  bool guaranteeAtRisk(const Unit &unit, const std::optional<Plan> &ends) const;
  double mostWaste(const Unit &unit) const;
  bool worthStopping(const Unit &unit, const Plan &stops,
                     const std::optional<Plan> &ends) const;
  absl::Duration slack(const Unit &unit) const;
  bool inTimeAnyway(const Unit &unit, const std::optional<Plan> &ends) const;
  bool makeRoom(Unit &unit);
  void notePlan(const Unit &unit, const char *outcome, const Plan *plan);
  void askForStops(const Unit &unit, const Plan &stops);
  void waitForRoom(Unit &unit);
  void keep(const Unit &unit, const Plan &plan);
  double wasteOf(const core::StepSpec &spec, const Task &task) const;

  JobScheduler &S;
  const absl::Time Now;
  std::vector<Place> Places;
  std::vector<Unit> Units;
  std::map<std::string, int> Ranks;
  int Kept = 0;
};

} // namespace oriolebay::jobs
