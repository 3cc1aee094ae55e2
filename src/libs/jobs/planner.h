#pragma once

#include "jobscheduler.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
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
    /// Owned by the fleet, which does not change during a pass.
    const WorkerView *View = nullptr;
    core::Resources Free;
    core::Resources Spare;
    absl::Duration KeptFor = absl::InfiniteDuration();
    /// Work takes longer there than on most workers.
    bool Slow = false;
    int Rack = -1;
    /// Its latest run failed, and none has been done there since.
    bool Doubted = false;
    /// A run began there, or may yet, so lately that a crash may be its doing.
    bool JustBegun = false;
    /// One of those is a suspect's: nothing else starts there until the worker
    /// has outlived it, so that a crash tells whose doing it is.
    bool HoldsSuspect = false;
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
    std::set<WorkerLife> Avoid;
    /// A task of it may have crashed its worker: it is tried where nothing else
    /// has just begun, rather on an empty worker, and not again on AvoidHosts
    /// (by agent) while others could hold it.
    bool Suspect = false;
    std::set<std::string> AvoidHosts = {};
    /// How long it may wait for its job to be in time still. Least first among
    /// other work of priority 0.
    absl::Duration Slack = absl::ZeroDuration();
    /// So many of its tasks have to run at the same time, from now or from when
    /// the slack is used up, for its job to be in time; the rest can follow
    /// them.
    int Needed = 0;
    /// By place: how many more of its tasks may stand there, whatever the room;
    /// zero where it may not stand at all. Filled in when it is placed.
    std::vector<int64_t> Allowed = {};
    /// Whether one rack could hold all of it if that were empty; looked up
    /// once.
    mutable std::optional<bool> FitsOneRack = std::nullopt;

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
  /// Places that a gang may stand in: those of one rack, or all.
  struct Group {
    /// Negative for all.
    int Rack = -1;
    std::vector<size_t> Members = {};
  };
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
    /// All of it is being stopped.
    bool Stopping = true;
    /// Each place once.
    std::vector<std::pair<size_t, core::Resources>> Frees = {};
  };
  using Releases = std::vector<const Release *>;
  /// Releases in the order in which a plan takes them.
  struct Order {
    Releases All;
    /// Those that free something there, by rack.
    std::vector<Releases> ByRack;

    const Releases &of(const Group &group) const {
      return group.Rack < 0 ? All : ByRack[static_cast<size_t>(group.Rack)];
    }
  };
  /// Where a gang will stand once the releases have come.
  struct Plan {
    Layout Places;
    RoomByPlace Freed;
    std::vector<const Release *> Ends;
    double Waste = 0;
    absl::Duration Wait = absl::ZeroDuration();
  };

  void collectUnits();
  void collectTasks(Unit &unit, const JobScheduler::Step &step);
  void avoidFailed(Unit &unit, const JobScheduler::Step &step) const;
  void markSuspects();
  void markBegun(size_t place, const Unit &unit);
  bool mayStartOn(const Place &place, const Unit &unit) const;
  /// Smaller is better.
  int riskOf(const Place &place, const Unit &unit) const;
  int64_t couldHold(const Unit &unit) const;
  void rankJobs();
  void placeUnit(Unit &unit);
  bool placeGang(Unit &unit);
  int workersToKeepFree() const;
  bool isEmpty(const Place &place) const {
    return place.Free == place.View->State.Capacity;
  }
  void take(size_t place, const core::Resources &room);
  bool leavesHeadroom(const Unit &unit, const Layout &places) const;
  std::optional<size_t> bestPlace(const Unit &unit) const;
  void placeTasks(Unit &unit);
  void blocked(Unit &unit);
  bool isLarge(const Unit &unit) const;

  bool eligible(const WorkerView &worker, const Unit &unit) const;
  void findAllowed(Unit &unit) const;
  const core::Resources &room(const Place &place, const Unit &unit) const;
  int64_t fits(size_t place, const Unit &unit, int64_t most) const;
  int onWorker(const Unit &unit, const WorkerLife &life) const;
  const std::vector<Group> &groups(const Unit &unit) const;
  bool wantsFast(const Unit &unit) const { return unit.Rank <= 1; }
  int64_t slowOnes(const Layout &places) const;
  std::optional<Layout> layout(const Unit &unit, const Group &group) const;
  bool couldEverFitOneRack(const Unit &unit) const;
  bool findFitsOneRack(const Unit &unit) const;
  void startGang(Unit &unit, const Layout &places);
  void startTask(Unit &unit, int index, size_t place);

  void listRunning();
  void addReleases(Job &job, int occurrence, int step);
  void listAgain(Job &job, int occurrence, int step);
  Order orderOf(Releases all) const;
  const Order &stoppable(const Unit &unit);
  const Order &byEnd();
  bool inGroup(size_t place, const Unit &unit, const Group &group) const;
  std::optional<Plan> planWith(const Unit &unit, const Group &group,
                               const Releases &releases);
  int64_t applyRelease(const Unit &unit, const Group &group,
                       const Release &release, int sign);
  void prune(const Unit &unit, const Group &group, int64_t fit, Plan &plan);
  template <class Cost>
  std::optional<Plan> leastPlan(const Unit &unit, const Order &order,
                                Cost Plan::*cost);
  std::optional<Plan> cheapestStops(const Unit &unit);
  std::optional<Plan> firstEnds(const Unit &unit);
  bool guaranteeAtRisk(const Unit &unit, const std::optional<Plan> &ends) const;
  double mostWaste(const Unit &unit) const;
  bool worthStopping(const Unit &unit, const Plan &stops,
                     const std::optional<Plan> &ends) const;
  void judgeDemand(Unit &unit) const;
  void demandOfTasks(Unit &unit, absl::Duration left,
                     absl::Duration each) const;
  bool inTimeAnyway(const Unit &unit, const std::optional<Plan> &ends) const;
  bool makeRoom(Unit &unit);
  void notePlan(const Unit &unit, const char *outcome, const Plan *plan);
  void askForStops(const Unit &unit, const Plan &stops);
  int mostKept() const;
  void waitForRoom(Unit &unit);
  void keep(const Unit &unit, const Plan &plan);
  double wasteOf(const core::StepSpec &spec, const Task &task) const;

  JobScheduler &S;
  const absl::Time Now;
  std::vector<Place> Places;
  absl::flat_hash_map<WorkerLife, size_t> PlaceOf;
  /// The places of each rack, and all places as the one group.
  std::vector<Group> Racks;
  std::vector<Group> WholeSite;
  /// Workers on which nothing runs, less those that are kept free for urgent
  /// work.
  int EmptyToSpare = 0;
  std::vector<Unit> Units;
  /// All that runs, once a unit had to wait; kept up to date from then on, as
  /// listing it takes longer than all else in a pass.
  std::deque<Release> Running;
  bool RunningListed = false;
  /// Orders of what is listed, until that changes; those for stops by the rank
  /// that they are made for.
  std::optional<Order> EndOrder;
  std::map<int, Order> StopOrders;
  int Kept = 0;
};

} // namespace oriolebay::jobs
