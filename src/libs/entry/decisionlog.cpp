#include "decisionlog.h"

#include "eventlog/eventlog.h"

namespace oriolebay::entry {

using eventlog::Event;
using eventlog::logEvent;

namespace {

Event eventFor(jobs::Decision::Kind kind) {
  using Kind = jobs::Decision::Kind;
  switch (kind) {
  case Kind::Placed:
    return Event::RunPlaced;
  case Kind::Started:
    return Event::RunStarted;
  case Kind::StartRefused:
    return Event::RunRefused;
  case Kind::Stopping:
    return Event::RunStopping;
  case Kind::Ended:
    return Event::RunEnded;
  case Kind::RunResolved:
    return Event::RunSettled;
  case Kind::JobEnded:
    return Event::LastingJobEnded;
  case Kind::WorkerJoined:
    return Event::WorkerJoined;
  case Kind::WorkerLost:
    return Event::WorkerLost;
  case Kind::WorkerQuarantined:
    return Event::WorkerKeptOut;
  case Kind::RunStalledOrSlow:
    return Event::RunStandsStill;
  case Kind::RunEvacuated:
    return Event::RunEvacuated;
  case Kind::RunCrashedWorker:
    return Event::RunCrashedWorker;
  case Kind::SuspectCleared:
    return Event::SuspectCleared;
  case Kind::Waiting:
    return Event::StepWaiting;
  case Kind::WaitsBesideFreeWorkers:
    return Event::StepWaitsBesideFreeWorkers;
  case Kind::PreferencesGivenUp:
    return Event::StepPreferencesGivenUp;
  case Kind::QuarantineEnded:
    return Event::WorkerUsedAgain;
  case Kind::DeadlineSet:
    return Event::JobPromised;
  case Kind::CapacityPlanned:
    return Event::RoomPlanned;
  case Kind::StartBarred:
    return Event::RunStartBarred;
  case Kind::UnexpectedRun:
    return Event::RunUnexpected;
  case Kind::SpeedLearned:
    return Event::WorkerSpeedLearned;
  case Kind::SpeedIgnored:
    return Event::WorkerSpeedIgnored;
  case Kind::SavesOmitted:
    return Event::SavesOmitted;
  case Kind::FailuresDismissed:
    return Event::FailuresDismissed;
  case Kind::StallTimeoutRaised:
    return Event::StallTimeoutRaised;
  case Kind::EstimateDismissed:
    return Event::EstimateDismissed;
  }
  return Event::RunPlaced;
}

} // namespace

void logDecision(const jobs::Decision &d) {
  nlohmann::json fields = nlohmann::json::object();
  if (!d.Job.empty())
    fields["job"] = d.Job;
  if (!d.Task.empty())
    fields["task"] = d.Task;
  if (d.Run > 0)
    fields["run"] = d.Run;
  if (!d.Worker.empty())
    fields["worker"] = d.Worker;
  if (!d.Why.empty())
    fields["why"] = d.Why;
  for (const jobs::DecisionInput &input : d.Inputs)
    fields[input.Name] = input.Value;
  for (const auto &[name, text] : d.Texts)
    fields[name] = text;
  logEvent(eventFor(d.What), fields);
}

static void logWithheldRefusal(const jobs::CallDecision &d) {
  if (!d.WithheldRefusal)
    return;
  logEvent(Event::CallRefusalWithheld,
           {{"call", d.Call},
            {"job", d.Job},
            {"refusal", jobs::callResultName(*d.WithheldRefusal)},
            {"writes", d.WritesSent},
            {"writes_unanswered", d.WritesUnanswered},
            {"why", d.Answer.Detail}});
}

void logCall(const jobs::CallDecision &d) {
  logWithheldRefusal(d);
  nlohmann::json fields = {{"call", d.Call},
                           {"queue", d.Queue},
                           {"organisation", d.Organisation},
                           {"config_version", d.ConfigVersion},
                           {"config_age_ms", d.ConfigAgeMs},
                           {"result", jobs::callResultName(d.Answer.Result)},
                           {"took_ms", d.TookMs}};
  if (d.Forwarded)
    fields["forwarded"] = true;
  if (d.ConfigOutdated)
    fields["config_outdated"] = true;
  if (!d.Job.empty())
    fields["job"] = d.Job;
  if (d.RecordConfigVersion > 0)
    fields["record_config_version"] = d.RecordConfigVersion;
  // Otherwise the record is the one that the call is about.
  if (!d.RecordQueue.empty() && d.RecordQueue != d.Queue)
    fields["record_queue"] = d.RecordQueue;
  if (!d.RecordQueue.empty() && d.RecordOrganisation != d.Organisation)
    fields["record_organisation"] = d.RecordOrganisation;
  if (!d.Asked.empty()) {
    fields["asked"] = d.Asked;
    fields["priority"] = d.Priority;
  }
  if (d.WritesSent > 0) {
    fields["writes"] = d.WritesSent;
    fields["writes_unanswered"] = d.WritesUnanswered;
  }
  if (!d.Answer.Detail.empty())
    fields["why"] = d.Answer.Detail;
  if (!d.Answer.ServedBy.empty()) {
    fields["served_by"] = d.Answer.ServedBy;
    fields["served_config_version"] = d.Answer.DecidedBy.Version;
  }
  if (d.Call == "state" && d.Answer.Result == jobs::CallResult::Ok)
    fields["state"] = jobs::jobStateName(d.Answer.State);
  if (d.Call == "queue" && d.Answer.Result == jobs::CallResult::Ok)
    fields["waiting"] = d.Answer.Waiting;
  logEvent(Event::CallAnswered, fields);
}

} // namespace oriolebay::entry
