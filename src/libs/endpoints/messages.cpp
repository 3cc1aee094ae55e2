#include "messages.h"

#include "core/codec.h"
#include "utils/jsontext.h"
#include "utils/text.h"

#include <array>
#include <functional>
#include <map>
#include <set>

namespace oriolebay::endpoints {

using nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(TaskEnd, {{TaskEnd::Done, "done"},
                                       {TaskEnd::Failed, "failed"},
                                       {TaskEnd::Stopped, "stopped"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskStatus, Run, Member, Watts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Announce, Worker, Incarnation, Leaving,
                                   Epoch, Tasks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskResult, Run, Member, WorkerId, End,
                                   Output, Saved)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Reserve, Epoch, Run, Members,
                                   AcceleratorsPerMember, ConfigVersion)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(struct Run, Epoch, Run, JobId, Members,
                                   Payload, Saved, PowerLimitWatts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Release, Epoch, Run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Stop, Epoch, Run, Members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Submit, GangId, Job, ReplyTo)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Answered, GangId, Answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Cancel, Organisation, JobId)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Ack, Ok, Detail, Epoch, ConfigVersion,
                                   TaskLeaseMs)
NLOHMANN_JSON_SERIALIZE_ENUM(RunEnd, {{RunEnd::Done, "done"},
                                      {RunEnd::Failed, "failed"},
                                      {RunEnd::Stopped, "stopped"},
                                      {RunEnd::Lapsed, "lapsed"},
                                      {RunEnd::Broken, "broken"},
                                      {RunEnd::Alone, "alone"}})
NLOHMANN_JSON_SERIALIZE_ENUM(OrderOutcome,
                             {{OrderOutcome::Started, "started"},
                              {OrderOutcome::Refused, "refused"},
                              {OrderOutcome::Busy, "busy"},
                              {OrderOutcome::Gone, "gone"},
                              {OrderOutcome::NoCapacity, "no_room"},
                              {OrderOutcome::Fenced, "fenced"},
                              {OrderOutcome::Unconfirmed, "unconfirmed"},
                              {OrderOutcome::Absent, "absent"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunningTask, Task, Run, Saved, Percent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndedTask, Number, Task, Run, How, Saved)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OrderResult, Task, Run, Outcome, Detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerIncarnation, Id, BornMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerState, Life, Service, FailureDomain,
                                   Rack, Labels, Capacity, Draining,
                                   RemainingMs, ColdMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LearnedSpeed, Log, Ends)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunId, Task, Run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(IncarnationEnd, Life, Crashed, JustBegun,
                                   Witnessed, MayStillBegin)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OpenStart, Task, Run, PossibleForMs)

void to_json(json &j, const EarlierStart &s) {
  j = {{"Start", s.Start}, {"Life", s.Life}, {"MayRun", s.MayRun}};
}

// Entries of earlier versions tell by a start time of zero alone that no
// incarnation may run the start.
void from_json(const json &j, EarlierStart &s) {
  j.at("Start").get_to(s.Start);
  j.at("Life").get_to(s.Life);
  s.MayRun = j.value("MayRun", true);
}

static void to_json(json &j, const WorkerReport &r) {
  j = {{"Agent", r.Agent},
       {"AgentAddress", r.AgentAddress},
       {"Worker", r.Worker},
       {"EndedLives", r.EndedLives},
       {"Sequence", r.Sequence},
       {"Reachable", r.Reachable},
       {"Epoch", r.Epoch},
       {"ListedMsAgo", r.ListedMsAgo},
       {"Speed", r.Speed},
       {"SpeedWithGangs", r.SpeedWithGangs},
       {"Running", r.Running},
       {"Ended", r.Ended},
       {"EndsComplete", r.EndsComplete},
       {"ReadsSharedPayloads", r.ReadsSharedPayloads},
       {"Results", r.Results},
       {"OpenStarts", r.OpenStarts},
       {"StartsKnownForMs", r.StartsKnownForMs},
       {"StateOutdated", r.StateOutdated}};
}

/// Number of ends that workers list at a time beside agents of earlier
/// versions, which do not tell whether there are others.
constexpr size_t MaxEndsOfEarlierAgents = 500;

// Agents of earlier versions do not track open starts, the age of the state,
// the speed in gangs and whether all ends are listed, and read no shared
// payloads. Their reports lack these fields and must remain readable during an
// upgrade.
static void from_json(const json &j, WorkerReport &r) {
  j.at("Agent").get_to(r.Agent);
  j.at("AgentAddress").get_to(r.AgentAddress);
  j.at("Worker").get_to(r.Worker);
  j.at("EndedLives").get_to(r.EndedLives);
  j.at("Sequence").get_to(r.Sequence);
  j.at("Reachable").get_to(r.Reachable);
  j.at("Epoch").get_to(r.Epoch);
  j.at("ListedMsAgo").get_to(r.ListedMsAgo);
  j.at("Speed").get_to(r.Speed);
  j.at("Running").get_to(r.Running);
  j.at("Ended").get_to(r.Ended);
  j.at("Results").get_to(r.Results);
  r.OpenStarts = j.value("OpenStarts", std::vector<OpenStart>());
  r.StartsKnownForMs = j.value("StartsKnownForMs", int64_t{0});
  r.StateOutdated = j.value("StateOutdated", false);
  r.EndsComplete =
      j.value("EndsComplete", r.Ended.size() < MaxEndsOfEarlierAgents);
  r.ReadsSharedPayloads = j.value("ReadsSharedPayloads", false);
  r.SpeedWithGangs = j.value("SpeedWithGangs", LearnedSpeed());
}

static void to_json(json &j, const ReportAck &a) {
  j = {{"Epoch", a.Epoch},
       {"Doubtful", a.Doubtful},
       {"Leader", a.Leader},
       {"LeaderEpoch", a.LeaderEpoch},
       {"Entries", a.Entries},
       {"GrantMs", a.GrantMs},
       {"SeenUpto", a.SeenUpto},
       {"Speed", a.Speed},
       {"SpeedWithGangs", a.SpeedWithGangs},
       {"Cordoned", a.Cordoned},
       {"CordonAgeMs", a.CordonAgeMs},
       {"EarlierStarts", a.EarlierStarts}};
}

// Entries of earlier versions do not know cordons, earlier starts and speeds in
// gangs. Their answers lack these fields and must remain readable during an
// upgrade.
static void from_json(const json &j, ReportAck &a) {
  j.at("Epoch").get_to(a.Epoch);
  j.at("Doubtful").get_to(a.Doubtful);
  j.at("Leader").get_to(a.Leader);
  j.at("LeaderEpoch").get_to(a.LeaderEpoch);
  j.at("Entries").get_to(a.Entries);
  j.at("GrantMs").get_to(a.GrantMs);
  j.at("SeenUpto").get_to(a.SeenUpto);
  j.at("Speed").get_to(a.Speed);
  a.SpeedWithGangs = j.value("SpeedWithGangs", LearnedSpeed());
  a.Cordoned = j.value("Cordoned", false);
  a.CordonAgeMs = j.value("CordonAgeMs", int64_t{-1});
  a.EarlierStarts = j.value("EarlierStarts", std::vector<EarlierStart>());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StopOrder, Task, Run)

// A start without its payload.
static json startToJson(const StartOrder &o) {
  return {{"Task", o.Task},
          {"Run", o.Run},
          {"Saved", o.Saved},
          {"Ticket", o.Ticket},
          {"DecidedOn", o.DecidedOn}};
}

static StartOrder startFromJson(const json &j) {
  StartOrder o;
  j.at("Task").get_to(o.Task);
  j.at("Run").get_to(o.Run);
  j.at("Saved").get_to(o.Saved);
  j.at("Ticket").get_to(o.Ticket);
  j.at("DecidedOn").get_to(o.DecidedOn);
  return o;
}

// The starts, each with its payload.
static json startsToJson(const std::vector<StartOrder> &starts) {
  json list = json::array();
  for (const StartOrder &o : starts) {
    list.push_back(startToJson(o));
    list.back()["Payload"] = o.Payload.str();
  }
  return list;
}

// The starts, each with the index of its payload in the list of payloads.
static json startsToJson(const std::vector<StartOrder> &starts,
                         json &payloads) {
  json list = json::array();
  std::map<core::SharedText, size_t> indexOf;
  payloads = json::array();
  for (const StartOrder &o : starts) {
    const auto [it, added] = indexOf.emplace(o.Payload, payloads.size());
    if (added)
      payloads.push_back(o.Payload.str());
    list.push_back(startToJson(o));
    list.back()["PayloadIndex"] = it->second;
  }
  return list;
}

static void to_json(json &j, const WorkerOrders &o) {
  j = {{"Epoch", o.Epoch},
       {"Life", o.Life},
       {"Stops", o.Stops},
       {"LastReport", o.LastReport}};
  if (o.PayloadsShared)
    j["Starts"] = startsToJson(o.Starts, j["Payloads"]);
  else
    j["Starts"] = startsToJson(o.Starts);
}

static void from_json(const json &j, WorkerOrders &o) {
  j.at("Epoch").get_to(o.Epoch);
  j.at("Life").get_to(o.Life);
  j.at("Stops").get_to(o.Stops);
  o.PayloadsShared = j.contains("Payloads");
  std::vector<core::SharedText> payloads;
  if (o.PayloadsShared)
    for (const json &payload : j.at("Payloads"))
      payloads.emplace_back(payload.get<std::string>());
  for (const json &start : j.at("Starts")) {
    o.Starts.push_back(startFromJson(start));
    o.Starts.back().Payload =
        o.PayloadsShared
            ? payloads.at(start.at("PayloadIndex").get<size_t>())
            : core::SharedText(start.at("Payload").get<std::string>());
  }
  o.LastReport = j.value("LastReport", WorkerOrders().LastReport);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobWritten, Key, Value, Revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StandDown, Epoch)
static void to_json(json &j, const ForwardedCall &c) {
  j = {{"Call", c.Call},
       {"Host", c.Host},
       {"Path", c.Path},
       {"Key", c.Key},
       {"TimeLeftMs", c.TimeLeftMs},
       {"Job", c.Job},
       {"Record", c.Record},
       {"OldestRevision", c.OldestRevision},
       {"MaxConfigAgeMs", c.MaxConfigAgeMs},
       {"OpenRevision", c.OpenRevision},
       {"OpenOrganisations", c.OpenOrganisations},
       {"AllowedBy", c.AllowedBy}};
}

static void from_json(const json &j, ForwardedCall &c) {
  j.at("Call").get_to(c.Call);
  j.at("Host").get_to(c.Host);
  j.at("Path").get_to(c.Path);
  j.at("Key").get_to(c.Key);
  j.at("TimeLeftMs").get_to(c.TimeLeftMs);
  j.at("Job").get_to(c.Job);
  j.at("Record").get_to(c.Record);
  j.at("OldestRevision").get_to(c.OldestRevision);
  c.MaxConfigAgeMs = j.value("MaxConfigAgeMs", ForwardedCall().MaxConfigAgeMs);
  c.OpenRevision = j.value("OpenRevision", ForwardedCall().OpenRevision);
  c.OpenOrganisations =
      j.value("OpenOrganisations", ForwardedCall().OpenOrganisations);
  c.AllowedBy = j.value("AllowedBy", ForwardedCall().AllowedBy);
}

static void to_json(json &j, const ForwardedAnswer &a) {
  j = {{"Result", a.Result},
       {"Detail", a.Detail},
       {"State", a.State},
       {"RetryAfterMs", a.RetryAfterMs},
       {"Waiting", a.Waiting},
       {"DecidedBy", a.DecidedBy},
       {"Entry", a.Entry},
       {"Settled", a.Settled},
       {"NewestKnown", a.NewestKnown}};
}

static void from_json(const json &j, ForwardedAnswer &a) {
  j.at("Result").get_to(a.Result);
  j.at("Detail").get_to(a.Detail);
  j.at("RetryAfterMs").get_to(a.RetryAfterMs);
  j.at("State").get_to(a.State);
  j.at("Waiting").get_to(a.Waiting);
  j.at("DecidedBy").get_to(a.DecidedBy);
  j.at("Entry").get_to(a.Entry);
  a.Settled = j.value("Settled", ForwardedAnswer().Settled);
  a.NewestKnown = j.value("NewestKnown", ForwardedAnswer().NewestKnown);
}

const char *runEndName(RunEnd end) {
  switch (end) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::Lapsed:
    return "lapsed";
  case RunEnd::Broken:
    return "broken";
  case RunEnd::Alone:
    return "alone";
  }
  return "unknown";
}

const char *orderOutcomeName(OrderOutcome outcome) {
  switch (outcome) {
  case OrderOutcome::Started:
    return "started";
  case OrderOutcome::Refused:
    return "refused";
  case OrderOutcome::Busy:
    return "busy";
  case OrderOutcome::Gone:
    return "gone";
  case OrderOutcome::NoCapacity:
    return "no_room";
  case OrderOutcome::Fenced:
    return "fenced";
  case OrderOutcome::Unconfirmed:
    return "unconfirmed";
  case OrderOutcome::Absent:
    return "absent";
  }
  return "unknown";
}

namespace {

struct MessageKind {
  const char *Name;
  std::function<Message(const json &)> Parse;
};

template <class T> MessageKind kindOf(const char *name) {
  return {name, [](const json &b) -> Message { return b.get<T>(); }};
}

// The order must match the alternatives of Message.
const std::array<MessageKind, std::variant_size_v<Message>> &kinds() {
  static const std::array<MessageKind, std::variant_size_v<Message>> table = {
      kindOf<Announce>("announce"),
      kindOf<TaskResult>("task_result"),
      kindOf<Reserve>("reserve"),
      kindOf<Run>("run"),
      kindOf<Release>("release"),
      kindOf<Stop>("stop"),
      kindOf<Submit>("submit"),
      kindOf<Answered>("answered"),
      kindOf<Cancel>("cancel"),
      kindOf<Ack>("ack"),
      kindOf<WorkerReport>("worker_report"),
      kindOf<ReportAck>("report_ack"),
      kindOf<WorkerOrders>("worker_orders"),
      kindOf<JobWritten>("job_written"),
      kindOf<StandDown>("stand_down"),
      kindOf<ForwardedCall>("forwarded_call"),
      kindOf<ForwardedAnswer>("forwarded_answer")};
  return table;
}

} // namespace

const char *messageName(const Message &message) {
  return kinds()[message.index()].Name;
}

std::string encode(const Message &message) {
  json envelope = {
      {"type", messageName(message)},
      {"body", std::visit([](const auto &m) { return json(m); }, message)}};
  std::vector<uint8_t> bytes = json::to_cbor(envelope);
  return std::string(bytes.begin(), bytes.end());
}

utils::Result<Message> decode(const std::string &bytes) {
  // The members that hold a record in its stored encoding.
  static const std::set<std::string> recordMembers = {"Record", "Value"};
  BOOST_LEAF_AUTO(envelope, utils::parseCbor(bytes, recordMembers));
  try {
    const auto type = envelope.at("type").get<std::string>();
    for (const MessageKind &kind : kinds())
      if (type == kind.Name)
        return kind.Parse(envelope.at("body"));
    throw std::invalid_argument("unknown message type " + type);
  } catch (const std::exception &e) {
    return utils::fail(utils::ErrorKind::BadMessage,
                       "undecodable message: " + utils::excerpt(e.what()),
                       "run the same version of entry and agent");
  }
}

} // namespace oriolebay::endpoints
