#include "events.h"

#include <algorithm>

namespace oriolebay::eventlog {

const std::vector<EventInfo> &allEvents() {
  static const std::vector<EventInfo> events = {
      {Event::ProcessStarted, "process.started"},
      {Event::ProcessStopping, "process.stopping"},
      {Event::ProcessStopped, "process.stopped"},
      {Event::SettingsRejected, "settings.rejected"},
      {Event::ListenerBound, "listener.bound"},
      {Event::JobReceived, "job.received"},
      {Event::JobPlaced, "job.placed"},
      {Event::JobRefused, "job.refused"},
      {Event::JobFinished, "job.finished"},
      {Event::JobDuplicate, "job.duplicate"},
      {Event::GangAborted, "gang.aborted"},
      {Event::GangStopping, "gang.stopping"},
      {Event::GangRequeued, "gang.requeued"},
      {Event::GangAdopted, "gang.adopted"},
      {Event::WorkerJoined, "worker.joined"},
      {Event::WorkerLeaving, "worker.leaving"},
      {Event::WorkerLost, "worker.lost"},
      {Event::WorkerHeartbeatFailed, "worker.heartbeat_failed"},
      {Event::WorkerKeptOut, "worker.kept_out"},
      {Event::TaskReserved, "task.reserved"},
      {Event::TaskStarted, "task.started"},
      {Event::TaskFinished, "task.finished"},
      {Event::TaskReleased, "task.released"},
      {Event::TaskDuplicateRefused, "task.duplicate_refused"},
      {Event::TaskStopAsked, "task.stop_asked"},
      {Event::ProfileAccepted, "profile.accepted"},
      {Event::ProfileRefusedStale, "profile.refused_stale"},
      {Event::ProfileWritten, "profile.written"},
      {Event::ProfileConflict, "profile.conflict"},
      {Event::StoreCallFailed, "store.call_failed"},
      {Event::ProfileInForce, "profile.in_force"},
      {Event::LeaderElected, "leader.elected"},
      {Event::LeaderLost, "leader.lost"},
      {Event::LeaderFollowed, "leader.followed"},
      {Event::CallAnswered, "call.answered"},
      {Event::LastingJobEnded, "job.ended"},
      {Event::StepWaiting, "step.waiting"},
      {Event::JobPromised, "job.promised"},
      {Event::RoomPlanned, "room.planned"},
      {Event::StepWaitsBesideFreeWorkers, "step.waits_beside_free_workers"},
      {Event::StepPreferencesGivenUp, "step.preferences_given_up"},
      {Event::CallUnanswered, "call.unanswered"},
      {Event::CallRefusalWithheld, "call.refusal_withheld"},
      {Event::WorkerUsedAgain, "worker.used_again"},
      {Event::WorkerSpeedLearned, "worker.speed_learned"},
      {Event::WorkerSpeedIgnored, "worker.speed_ignored"},
      {Event::RunPlaced, "run.placed"},
      {Event::RunStarted, "run.started"},
      {Event::RunRefused, "run.refused"},
      {Event::RunStopping, "run.stopping"},
      {Event::RunEnded, "run.ended"},
      {Event::RunStandsStill, "run.stands_still"},
      {Event::RunEvacuated, "run.evacuated"},
      {Event::RunCrashedWorker, "run.crashed_worker"},
      {Event::SuspectCleared, "run.suspect_cleared"},
      {Event::RunSettled, "run.settled"},
      {Event::OrderReceived, "order.received"},
      {Event::OrderCarriedOut, "order.carried_out"},
      {Event::GrantEnded, "grant.ended"},
      {Event::OrderUnanswered, "order.unanswered"},
      {Event::RunStartBarred, "run.start_barred"},
      {Event::RunUnexpected, "run.unexpected"},
      {Event::OrderDeferred, "order.deferred"},
      {Event::OrderDeferralEnded, "order.deferral_ended"},
      {Event::StoreLost, "store.lost"},
      {Event::StoreRegained, "store.regained"},
      {Event::ConfigAccepted, "config.accepted"},
      {Event::ConfigOutdated, "config.outdated"},
      {Event::ConfigRefused, "config.refused"},
      {Event::RecordRefused, "record.refused"},
      {Event::WorkerLifeBegan, "worker.life_began"},
      {Event::WorkerLifeEnded, "worker.life_ended"},
      {Event::WorkerDraining, "worker.draining"},
      {Event::WorkerUnreachable, "worker.unreachable"},
      {Event::WorkerReachable, "worker.reachable"},
      {Event::WorkerCapacityChanged, "worker.capacity_changed"},
      {Event::WorkerHeartbeatIgnored, "worker.heartbeat_ignored"},
      {Event::LogLinesLeftOut, "log.lines_left_out"},
      {Event::MetricsUnavailable, "metrics.unavailable"},
      {Event::SettingsReloaded, "settings.reloaded"},
      {Event::ProcessFailed, "process.failed"},
      {Event::MessageRefused, "message.refused"},
      {Event::LeaderUnreachable, "leader.unreachable"},
      {Event::SilentAgentsRecorded, "leader.silent_agents"},
      {Event::DomainCordoned, "domain.cordoned"},
      {Event::DomainCordonLifted, "domain.cordon_lifted"},
      {Event::CordonInForce, "cordon.in_force"},
      {Event::CordonOver, "cordon.over"},
  };
  return events;
}

const char *eventName(Event event) {
  const auto &all = allEvents();
  auto it = std::find_if(all.begin(), all.end(), [event](const EventInfo &i) {
    return i.Number == event;
  });
  return it == all.end() ? "unknown" : it->Name;
}

} // namespace oriolebay::eventlog
