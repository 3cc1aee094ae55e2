#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>

namespace oriolebay::jobs {

/// Which attempts to start a run may still be carried out, as the agents
/// report. Uses no threads, clock or sockets.
class OpenStartRegistry {
public:
  /// Applies what an agent reports of the starts that it sent. Reports must be
  /// applied in the order in which they were sent.
  void applyReport(const endpoints::WorkerReport &report, absl::Time now);

  bool hasReported(const std::string &agent) const {
    return Agents.count(agent) != 0;
  }
  /// Time of the latest report of the agent; infinite past if there is none.
  absl::Time lastReportAt(const std::string &agent) const;
  /// Time until which an attempt to start the run may still be carried out, as
  /// the agent lists it; infinite past if it lists none.
  absl::Time listedUntil(const std::string &agent,
                         const endpoints::RunId &run) const;
  /// Time until which an attempt by an earlier process of the agent may still
  /// be carried out, of a run that was first ordered at orderedAt; infinite
  /// past if there is none. Returns nothing if the agent has not reported.
  std::optional<absl::Time> unknownUntil(const std::string &agent,
                                         absl::Time orderedAt,
                                         absl::Time now) const;
  /// Time until which an attempt by the agent's processes may still be carried
  /// out, of a run that the present one gets no orders for any more.
  absl::Time openUntil(const std::string &agent, const endpoints::RunId &run,
                       absl::Time now) const;

private:
  struct AgentStarts {
    absl::Time LastReportAt;
    /// The agent's process knows all starts that were sent since then.
    absl::Time KnownSince;
    std::map<endpoints::RunId, absl::Time> OpenUntil;
  };

  std::map<std::string, AgentStarts> Agents;
};

} // namespace oriolebay::jobs
