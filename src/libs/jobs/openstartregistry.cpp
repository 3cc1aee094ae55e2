#include "openstartregistry.h"

#include <algorithm>

namespace oriolebay::jobs {

using endpoints::MaxOrderDelay;
using endpoints::RunId;

void OpenStartRegistry::applyReport(const endpoints::WorkerReport &report,
                                    absl::Time now) {
  AgentStarts &agent = Agents[report.Agent];
  agent.LastReportAt = now;
  agent.KnownSince = now - absl::Milliseconds(report.StartsKnownForMs);
  agent.OpenUntil.clear();
  for (const endpoints::OpenStart &start : report.OpenStarts)
    agent.OpenUntil[RunId{start.Task, start.Run}] =
        now + absl::Milliseconds(start.PossibleForMs);
}

absl::Time OpenStartRegistry::lastReportAt(const std::string &agent) const {
  auto it = Agents.find(agent);
  return it == Agents.end() ? absl::InfinitePast() : it->second.LastReportAt;
}

absl::Time OpenStartRegistry::listedUntil(const std::string &agent,
                                          const RunId &run) const {
  auto it = Agents.find(agent);
  if (it == Agents.end())
    return absl::InfinitePast();
  auto open = it->second.OpenUntil.find(run);
  return open == it->second.OpenUntil.end() ? absl::InfinitePast()
                                            : open->second;
}

// An earlier process may have sent starts until the present one began.
std::optional<absl::Time>
OpenStartRegistry::unknownUntil(const std::string &agent, absl::Time orderedAt,
                                absl::Time now) const {
  auto it = Agents.find(agent);
  if (it == Agents.end())
    return std::nullopt;
  const absl::Time knownSince = it->second.KnownSince;
  const absl::Time until = knownSince + MaxOrderDelay;
  return knownSince <= orderedAt || until <= now ? absl::InfinitePast() : until;
}

absl::Time OpenStartRegistry::openUntil(const std::string &agent,
                                        const RunId &run,
                                        absl::Time now) const {
  const absl::Time unknown = unknownUntil(agent, absl::InfinitePast(), now)
                                 .value_or(absl::InfiniteFuture());
  return std::max(unknown, listedUntil(agent, run));
}

} // namespace oriolebay::jobs
