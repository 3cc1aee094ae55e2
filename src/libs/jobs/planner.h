#pragma once

#include "jobscheduler.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
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

  /// A worker with what is free on it in this pass.
  struct Place {
    std::string Life;
    const WorkerView *View = nullptr;
    core::Resources Free;
    /// Kept free for a unit that comes first; others may use it only if they
    /// are expected to end before then.
    bool Held = false;
    absl::Duration HeldFor = absl::ZeroDuration();
  };
  /// What is placed as one: a gang, or the ready tasks of a step one by one.
  struct Unit {
    Job *Owner = nullptr;
    int Occurrence = 0;
    int Step = 0;
    std::vector<int> Tasks;
    /// 0: within a guarantee; 1: other work of priority 0; then priority + 1.
    int Rank = 0;

    const core::StepSpec &spec() const {
      return Owner->Record.Spec.Steps[static_cast<size_t>(Step)];
    }
    core::TaskId task(int index) const {
      return {Owner->Record.Spec.Id, Occurrence, Step, index};
    }
  };
  /// How many of a gang's tasks go where; the index of the place.
  using Layout = std::vector<size_t>;
  /// A running step that could be stopped, and what that would throw away.
  struct Victim {
    Job *Owner = nullptr;
    int Occurrence = 0;
    int Step = 0;
    /// The task, or -1 for a whole gang.
    int Index = -1;
    int Rank = 0;
    double Waste = 0;
    std::map<size_t, core::Resources> Frees;
  };

  void collectUnits();
  void rankJobs();
  int rankOf(const Job &job) const;
  void placeUnit(Unit &unit);
  bool placeGang(Unit &unit);
  void placeTasks(Unit &unit);
  void blocked(Unit &unit);

  bool eligible(const Place &place, const Unit &unit) const;
  bool mayUse(const Place &place, const Unit &unit) const;
  int64_t fits(const Place &place, const Unit &unit, int64_t most) const;
  int onWorker(const Unit &unit, const std::string &life) const;
  std::vector<std::vector<size_t>> groups(const Unit &unit) const;
  std::optional<Layout> layout(const Unit &unit,
                               const std::vector<size_t> &group) const;
  bool couldEverFitOneRack(const Unit &unit) const;
  void startGang(Unit &unit, const Layout &places);
  void startTask(Unit &unit, int index, size_t place);

  std::vector<Victim> victims(const Unit &unit) const;
  bool preempt(Unit &unit);
  void hold(Unit &unit);
  absl::Duration remaining(const Job &job, int occurrence, int step) const;

  JobScheduler &S;
  const absl::Time Now;
  std::vector<Place> Places;
  std::vector<Unit> Units;
  std::map<std::string, int> Ranks;
  int Holds = 0;
};

} // namespace oriolebay::jobs
