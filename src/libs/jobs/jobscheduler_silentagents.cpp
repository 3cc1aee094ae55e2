// Agents that have not reported to this leader, and until when tasks may still
// run beside them.
#include "jobscheduler.h"

#include <algorithm>

namespace oriolebay::jobs {

void JobScheduler::onPreviousLeadersEnded(absl::Time endTime) {
  UnreportedLostAt =
      std::min(UnreportedLostAt, endTime + Policy.Fleet.LostAfter);
}

void JobScheduler::adoptSilentAgents(const std::vector<SilentAgent> &agents) {
  for (const SilentAgent &agent : agents)
    SilentBeforeElection[agent.Agent] = agent.SilentFor;
}

absl::Duration
JobScheduler::silentBeforeElection(const std::string &agent) const {
  auto it = SilentBeforeElection.find(agent);
  return it == SilentBeforeElection.end() ? absl::ZeroDuration() : it->second;
}

// No leader can have granted time to an agent since it fell silent, except the
// ones that were replaced before that.
absl::Time
JobScheduler::tasksEndedBy(const UnreportedIncarnation &unreported) const {
  if (unreported.TasksEndedBy != absl::InfiniteFuture())
    return unreported.TasksEndedBy;
  return std::min(UnreportedLostAt, ElectedAt + Policy.UnreportedLostAfter -
                                        silentBeforeElection(unreported.Agent));
}

std::vector<SilentAgent> JobScheduler::silentAgents(absl::Time now) const {
  std::set<std::string> names;
  for (const auto &[incarnation, unreported] : UnreportedIncarnations)
    names.insert(unreported.Agent);
  for (const auto &[agent, starts] : LateStartsByAgent)
    names.insert(agent);
  std::vector<SilentAgent> agents;
  for (const std::string &name : names)
    if (!OpenStarts.hasReported(name))
      agents.push_back({name, now - ElectedAt + silentBeforeElection(name)});
  return agents;
}

} // namespace oriolebay::jobs
