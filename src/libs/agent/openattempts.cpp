#include "openattempts.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::OpenStart;
using endpoints::RunId;
using endpoints::WorkerIncarnation;

OpenAttempts::AttemptNumber
OpenAttempts::open(const RunId &run, const WorkerIncarnation &incarnation,
                   absl::Time now) {
  std::erase_if(Attempts,
                [now](const auto &entry) { return !entry.second.isOpen(now); });
  std::erase_if(ConfirmedStops, [this](const auto &stop) {
    return std::none_of(Attempts.begin(), Attempts.end(), [&](const auto &a) {
      return a.second.Run == stop.first;
    });
  });
  Attempts[++LastNumber] = {run, incarnation, now};
  return LastNumber;
}

void OpenAttempts::adopt(const endpoints::EarlierStart &earlier,
                         absl::Time now) {
  const RunId run{earlier.Start.Task, earlier.Start.Run};
  const bool mayRun = earlier.MayRun || earlier.Life.BornMs != 0;
  for (auto &[number, attempt] : Attempts)
    if (attempt.Run == run && attempt.Incarnation == earlier.Life) {
      attempt.MayRun &= mayRun;
      return;
    }
  const absl::Duration left =
      std::min(absl::Milliseconds(earlier.Start.PossibleForMs),
               endpoints::MaxOrderDelay);
  Attempts[++LastNumber] = {run, earlier.Life,
                            now + left - endpoints::MaxOrderDelay, mayRun};
}

void OpenAttempts::closeOtherIds(const std::string &id) {
  std::erase_if(Attempts, [&id](const auto &entry) {
    return entry.second.Incarnation.Id != id;
  });
}

void OpenAttempts::closeId(const std::string &id) {
  std::erase_if(Attempts, [&id](const auto &entry) {
    return entry.second.Incarnation.Id == id;
  });
}

void OpenAttempts::closeRun(const RunId &run) {
  std::erase_if(Attempts,
                [&run](const auto &entry) { return entry.second.Run == run; });
}

void OpenAttempts::recordStopped(const RunId &run,
                                 const WorkerIncarnation &incarnation) {
  ConfirmedStops.insert({run, incarnation});
}

std::vector<RunId> OpenAttempts::openRuns(absl::Time now) const {
  std::vector<RunId> runs;
  for (const OpenStart &start : openStarts(now))
    runs.push_back({start.Task, start.Run});
  return runs;
}

std::vector<OpenStart> OpenAttempts::openStarts(absl::Time now) const {
  std::map<RunId, absl::Time> latest;
  for (const auto &[number, attempt] : Attempts)
    if (attempt.isOpen(now)) {
      absl::Time &at =
          latest.emplace(attempt.Run, attempt.SentAt).first->second;
      at = std::max(at, attempt.SentAt);
    }
  std::vector<OpenStart> starts;
  for (const auto &[run, at] : latest) {
    const absl::Duration left = at + endpoints::MaxOrderDelay - now;
    starts.push_back(
        {run.Task, run.Run,
         absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1)))});
  }
  return starts;
}

bool OpenAttempts::isOpenElsewhere(const RunId &run,
                                   const WorkerIncarnation &incarnation,
                                   absl::Time now) const {
  return std::any_of(Attempts.begin(), Attempts.end(), [&](const auto &entry) {
    const Attempt &attempt = entry.second;
    return attempt.Run == run && attempt.mustBeRefusedBy(incarnation) &&
           attempt.isOpen(now);
  });
}

std::vector<OpenAttempts::PendingStop>
OpenAttempts::pendingStops(const WorkerIncarnation &incarnation,
                           absl::Time now) const {
  std::set<PendingStop> stops;
  for (const auto &[number, attempt] : Attempts)
    if (attempt.isOpen(now) && attempt.mustBeRefusedBy(incarnation) &&
        ConfirmedStops.count({attempt.Run, incarnation}) == 0)
      stops.insert({attempt.Run, attempt.Incarnation.Id});
  return {stops.begin(), stops.end()};
}

} // namespace oriolebay::agent
