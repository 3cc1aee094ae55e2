// Stable names of causes and outcomes.
#include "attribution.h"

namespace oriolebay::losses {

const std::vector<Cause> &allCauses() {
  static const std::vector<Cause> all = {
      Cause::Accepting,       Cause::StoreOutage,
      Cause::LeaderChange,    Cause::WaitingForCapacity,
      Cause::WaitingForStops, Cause::WaitingForCordon,
      Cause::WaitingForRack,  Cause::OwnWaves,
      Cause::Starting,        Cause::Working,
      Cause::SlowWorker,      Cause::RunFailed,
      Cause::RunLost,         Cause::RunStoodStill,
      Cause::RunStopped,      Cause::RunEvacuated,
      Cause::RunBroken,       Cause::Showing};
  return all;
}

const char *causeName(Cause cause) {
  switch (cause) {
  case Cause::Accepting:
    return "accepting";
  case Cause::StoreOutage:
    return "store_outage";
  case Cause::LeaderChange:
    return "leader_change";
  case Cause::WaitingForCapacity:
    return "waiting_for_room";
  case Cause::WaitingForStops:
    return "waiting_for_stops";
  case Cause::WaitingForCordon:
    return "waiting_for_cordon";
  case Cause::WaitingForRack:
    return "waiting_for_rack";
  case Cause::OwnWaves:
    return "own_waves";
  case Cause::Starting:
    return "starting";
  case Cause::Working:
    return "working";
  case Cause::SlowWorker:
    return "slow_worker";
  case Cause::RunFailed:
    return "run_failed";
  case Cause::RunLost:
    return "run_lost";
  case Cause::RunStoodStill:
    return "run_stood_still";
  case Cause::RunStopped:
    return "run_stopped_for_others";
  case Cause::RunEvacuated:
    return "run_evacuated";
  case Cause::RunBroken:
    return "run_broken";
  case Cause::Showing:
    return "showing";
  }
  return "unknown";
}

const char *outcomeName(Outcome outcome) {
  switch (outcome) {
  case Outcome::InTime:
    return "in_time";
  case Outcome::Late:
    return "late";
  case Outcome::Worthless:
    return "worthless";
  case Outcome::Failed:
    return "failed";
  case Outcome::Cancelled:
    return "cancelled";
  case Outcome::Refused:
    return "refused";
  case Outcome::NotAllowed:
    return "not_allowed";
  case Outcome::Open:
    return "open";
  }
  return "unknown";
}

} // namespace oriolebay::losses
