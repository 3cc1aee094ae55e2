#include "eventlog.h"

#include <absl/time/clock.h>
#include <boost/log/core.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>

namespace oriolebay::eventlog {

namespace {
std::string &processName() {
  static std::string name = "unnamed";
  return name;
}
} // namespace

const char *eventName(Event event) {
  switch (event) {
  case Event::ProcessStarted:
    return "process.started";
  case Event::ProcessStopping:
    return "process.stopping";
  case Event::ProcessStopped:
    return "process.stopped";
  case Event::SettingsRejected:
    return "settings.rejected";
  case Event::ListenerBound:
    return "listener.bound";
  case Event::JobReceived:
    return "job.received";
  case Event::JobPlaced:
    return "job.placed";
  case Event::JobRefused:
    return "job.refused";
  case Event::JobFinished:
    return "job.finished";
  case Event::JobDuplicate:
    return "job.duplicate";
  case Event::GangAborted:
    return "gang.aborted";
  case Event::GangStopping:
    return "gang.stopping";
  case Event::GangRequeued:
    return "gang.requeued";
  case Event::GangAdopted:
    return "gang.adopted";
  case Event::WorkerJoined:
    return "worker.joined";
  case Event::WorkerLeaving:
    return "worker.leaving";
  case Event::WorkerLost:
    return "worker.lost";
  case Event::WorkerHeartbeatFailed:
    return "worker.heartbeat_failed";
  case Event::WorkerKeptOut:
    return "worker.kept_out";
  case Event::TaskReserved:
    return "task.reserved";
  case Event::TaskStarted:
    return "task.started";
  case Event::TaskFinished:
    return "task.finished";
  case Event::TaskReleased:
    return "task.released";
  case Event::TaskDuplicateRefused:
    return "task.duplicate_refused";
  case Event::TaskStopAsked:
    return "task.stop_asked";
  case Event::ProfileAccepted:
    return "profile.accepted";
  case Event::ProfileRefusedStale:
    return "profile.refused_stale";
  case Event::ProfileWritten:
    return "profile.written";
  case Event::ProfileConflict:
    return "profile.conflict";
  case Event::StoreCallFailed:
    return "store.call_failed";
  case Event::ProfileInForce:
    return "profile.in_force";
  case Event::LeaderElected:
    return "leader.elected";
  case Event::LeaderLost:
    return "leader.lost";
  case Event::LeaderFollowed:
    return "leader.followed";
  case Event::CallAnswered:
    return "call.answered";
  case Event::LastingJobEnded:
    return "job.ended";
  case Event::StepWaiting:
    return "step.waiting";
  case Event::RunPlaced:
    return "run.placed";
  case Event::RunStarted:
    return "run.started";
  case Event::RunRefused:
    return "run.refused";
  case Event::RunStopping:
    return "run.stopping";
  case Event::RunEnded:
    return "run.ended";
  case Event::RunStandsStill:
    return "run.stands_still";
  case Event::RunSettled:
    return "run.settled";
  case Event::OrderReceived:
    return "order.received";
  case Event::OrderCarriedOut:
    return "order.carried_out";
  case Event::GrantEnded:
    return "grant.ended";
  case Event::StoreLost:
    return "store.lost";
  case Event::StoreRegained:
    return "store.regained";
  case Event::ConfigAccepted:
    return "config.accepted";
  case Event::ConfigRefused:
    return "config.refused";
  case Event::RecordRefused:
    return "record.refused";
  case Event::WorkerLifeBegan:
    return "worker.life_began";
  case Event::WorkerLifeEnded:
    return "worker.life_ended";
  case Event::WorkerDraining:
    return "worker.draining";
  case Event::WorkerUnreachable:
    return "worker.unreachable";
  case Event::WorkerReachable:
    return "worker.reachable";
  case Event::SettingsReloaded:
    return "settings.reloaded";
  case Event::LeaderUnreachable:
    return "leader.unreachable";
  }
  return "unknown";
}

void initEventLog(const std::string &process, const std::string &path) {
  namespace logging = boost::log;
  namespace keywords = boost::log::keywords;
  processName() = process;
  if (path.empty())
    logging::add_console_log(std::clog, keywords::format = "%Message%",
                             keywords::auto_flush = true);
  else
    logging::add_file_log(
        keywords::file_name = path, keywords::format = "%Message%",
        keywords::auto_flush = true, keywords::open_mode = std::ios_base::app);
}

void logEvent(Event event, const nlohmann::json &fields) {
  nlohmann::json line = {
      {"ts_us", absl::ToUnixMicros(absl::Now())},
      {"proc", processName()},
      {"event", static_cast<int>(event)},
      {"name", eventName(event)},
  };
  if (fields.is_object())
    for (const auto &[key, value] : fields.items())
      line[key] = value;
  BOOST_LOG_TRIVIAL(info) << line.dump();
}

} // namespace oriolebay::eventlog
