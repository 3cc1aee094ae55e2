// Agents that do not report to this leader, and until when tasks may still run
// beside them.
#include "jobscheduler.h"

#include <algorithm>

namespace oriolebay::jobs {

void JobScheduler::onPreviousLeadersEnded(absl::Time endTime) {
  UnreportedLostAt =
      std::min(UnreportedLostAt, endTime + Policy.Fleet.LostAfter);
}

void JobScheduler::adoptSilentAgents(const std::vector<SilentAgent> &agents) {
  for (const SilentAgent &agent : agents)
    SilentBeforeElection[agent.Agent] = agent;
}

SilentAgent JobScheduler::silentBeforeElection(const std::string &agent) const {
  auto it = SilentBeforeElection.find(agent);
  return it == SilentBeforeElection.end()
             ? SilentAgent{agent, absl::ZeroDuration()}
             : it->second;
}

// No leader can have granted time to an agent since it fell silent, except the
// ones that were replaced before that, if their grants are not refused.
absl::Time
JobScheduler::tasksEndedBy(const UnreportedIncarnation &unreported) const {
  if (unreported.TasksEndedBy != absl::InfiniteFuture())
    return unreported.TasksEndedBy;
  const SilentAgent agent = silentBeforeElection(unreported.Agent);
  const absl::Duration endedAfter =
      agent.Fenced ? Policy.Fleet.LostAfter : Policy.UnreportedLostAfter;
  return std::min(UnreportedLostAt, ElectedAt + endedAfter - agent.SilentFor);
}

std::vector<SilentAgent> JobScheduler::silentAgents(absl::Time now) const {
  std::vector<SilentAgent> agents = unreportedAgents(now);
  for (const std::string &name : agentsOutOfTouch(now))
    agents.push_back(
        {name,
         now - OpenStarts.lastReportAt(name) - Policy.Fleet.UnresponsiveAfter,
         true});
  return agents;
}

std::vector<SilentAgent> JobScheduler::unreportedAgents(absl::Time now) const {
  std::set<std::string> names;
  for (const auto &[incarnation, unreported] : UnreportedIncarnations)
    names.insert(unreported.Agent);
  for (const auto &[agent, starts] : LateStartsByAgent)
    names.insert(agent);
  std::vector<SilentAgent> agents;
  for (const std::string &name : names) {
    if (OpenStarts.hasReported(name))
      continue;
    SilentAgent agent = silentBeforeElection(name);
    agent.SilentFor += now - ElectedAt;
    agents.push_back(std::move(agent));
  }
  return agents;
}

// Of a start that no report has confirmed, the next leader would not know until
// when it may be carried out.
std::set<std::string> JobScheduler::agentsOutOfTouch(absl::Time now) const {
  std::set<std::string> agents;
  for (const std::string &name : FencedAgents)
    if (now - OpenStarts.lastReportAt(name) >= Policy.TellSilenceAfter)
      agents.insert(name);
  if (agents.empty())
    return agents;
  for (const auto &[id, job] : Jobs)
    for (const auto &[number, steps] : job.Occurrences)
      for (const Step &step : steps)
        for (const auto &[index, task] : step.objects())
          if (task.isAssigned() && task.Phase != Phase::Running)
            agents.erase(task.Progress.Agent);
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
