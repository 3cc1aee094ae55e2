#include "waitingorder.h"

#include <tuple>

namespace oriolebay::jobs {

namespace {

constexpr int RankWithinGuarantee = 0;
constexpr int RankOfOtherUrgentWork = 1;

} // namespace

bool startsBefore(const WaitingUnitKey &a, const WaitingUnitKey &b) {
  if (a.Rank != b.Rank)
    return a.Rank < b.Rank;
  if (a.Rank != RankWithinGuarantee && a.Overdue != b.Overdue)
    return b.Overdue;
  if (a.Round != b.Round)
    return a.Round < b.Round;
  if (a.Rank == RankOfOtherUrgentWork && a.Slack != b.Slack)
    return a.Slack < b.Slack;
  return std::tie(a.Arrived, a.Job, a.Occurrence, a.Step) <
         std::tie(b.Arrived, b.Job, b.Occurrence, b.Step);
}

} // namespace oriolebay::jobs
