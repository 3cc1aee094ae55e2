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
  for (const std::string &name : FencedAgents) {
    const absl::Duration silentFor = now - OpenStarts.lastReportAt(name);
    if (silentFor >= Policy.TellSilenceAfter)
      agents.push_back({name, silentFor + Policy.UnreportedLostAfter -
                                  Policy.Fleet.LostAfter});
  }
  return agents;
}

// By then the ends of its tasks are recorded, and the next leader need not know
// of the agent.
void JobScheduler::forgetLostAgents(absl::Time now) {
  std::erase_if(FencedAgents, [&](const std::string &agent) {
    return now - OpenStarts.lastReportAt(agent) >= Policy.UnreportedLostAfter;
  });
}

} // namespace oriolebay::jobs
