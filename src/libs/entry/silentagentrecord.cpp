#include "silentagentrecord.h"

#include "eventlog/eventlog.h"
#include "utils/eventloop.h"
#include "utils/jsonfields.h"
#include "utils/jsontext.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace oriolebay::entry {

using eventlog::Event;
using eventlog::logEvent;
using jobs::SilentAgent;
using nlohmann::json;
using platform::KeyValue;
using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;

namespace {

struct DecodedRecord {
  int64_t Epoch = 0;
  std::vector<SilentAgent> Agents;
  /// Number of rows that could not be read. Their agents count as not recorded,
  /// so that the longest time is waited for them.
  int UnreadableRows = 0;
};

std::string encode(int64_t epoch, const std::vector<SilentAgent> &agents) {
  json list = json::array();
  json fenced = json::array();
  for (const SilentAgent &agent : agents) {
    list.push_back({agent.Agent, absl::ToInt64Milliseconds(agent.SilentFor)});
    if (agent.Fenced)
      fenced.push_back(agent.Agent);
  }
  return utils::toJsonText(
      {{"epoch", epoch}, {"agents", list}, {"fenced", fenced}});
}

// Earlier versions write no such list.
bool isListed(const json &record, const char *key, const std::string &name) {
  auto list = record.find(key);
  return list != record.end() && list->is_array() &&
         std::find(list->begin(), list->end(), name) != list->end();
}

bool isReadable(const json &row) {
  return row.is_array() && row.size() == 2 && row[0].is_string() &&
         row[1].is_number_integer() && utils::toInt64(row[1]) >= 0;
}

std::optional<DecodedRecord> decode(const std::string &value) {
  const auto parsed = utils::parseJson(value);
  const json j = parsed ? *parsed : json();
  if (!j.is_object() || !j.contains("epoch") ||
      !j["epoch"].is_number_integer() || !j.contains("agents") ||
      !j["agents"].is_array())
    return std::nullopt;
  DecodedRecord record{utils::toInt64(j["epoch"]), {}};
  for (const json &row : j["agents"]) {
    if (!isReadable(row)) {
      ++record.UnreadableRows;
      continue;
    }
    const auto name = row[0].get<std::string>();
    record.Agents.push_back({name, absl::Milliseconds(utils::toInt64(row[1])),
                             isListed(j, "fenced", name)});
  }
  return record;
}

std::set<std::string> namesOf(const std::vector<SilentAgent> &agents) {
  std::set<std::string> names;
  for (const SilentAgent &agent : agents)
    names.insert(agent.Agent);
  return names;
}

} // namespace

SilentAgentRecord::SilentAgentRecord(utils::EventLoop &loop,
                                     const platform::Store &store,
                                     Options options,
                                     CurrentAgents currentAgents)
    : Loop(loop), StoreClient(store), Params(std::move(options)),
      ReadCurrentAgents(std::move(currentAgents)), StartedAt(Loop.now()) {}

SilentAgentRecord::~SilentAgentRecord() { *Alive = false; }

void SilentAgentRecord::read(OnRead onRead) {
  StoreClient.Get(Params.Key, [this, alive = Alive, onRead = std::move(onRead)](
                                  const StoreReply<KeyValue> &reply) {
    if (*alive)
      onRecord(reply, onRead);
  });
}

void SilentAgentRecord::onRecord(const StoreReply<KeyValue> &reply,
                                 const OnRead &onRead) {
  if (!reply.ok() && reply.Status != StoreStatus::NotFound) {
    Loop.runAfter(Params.RetryDelay, [this, alive = Alive, onRead] {
      if (*alive)
        read(onRead);
    });
    return;
  }
  if (reply.ok()) {
    Revision = reply.Value.ModRevision;
    decodeRecord(reply.Value.Value);
  }
  IsRead = true;
  onRead();
}

void SilentAgentRecord::decodeRecord(const std::string &value) {
  std::optional<DecodedRecord> record = decode(value);
  if (!record) {
    logEvent(Event::RecordRefused,
             {{"key", Params.Key}, {"error", "not a record of silent agents"}});
    return;
  }
  if (record->UnreadableRows > 0)
    logEvent(Event::RecordRefused, {{"key", Params.Key},
                                    {"error", "rows that cannot be read"},
                                    {"rows", record->UnreadableRows}});
  ReadEpoch = record->Epoch;
  ReadAgents = std::move(record->Agents);
}

// A leader that followed the writer may have granted time to any agent.
std::vector<SilentAgent>
SilentAgentRecord::agentsUnder(int64_t previousEpoch) const {
  return ReadEpoch == previousEpoch ? ReadAgents : std::vector<SilentAgent>();
}

bool SilentAgentRecord::isWriteDue(
    const std::vector<SilentAgent> &agents) const {
  if (WriteUnderWay || Loop.now() < WritesPausedUntil)
    return false;
  if (Loop.now() - StartedAt < Params.FirstWriteAfter && PossibleAgents.empty())
    return false;
  if (namesOf(agents) != ConfirmedAgents || PossibleAgents != ConfirmedAgents)
    return true;
  return !agents.empty() && Loop.now() - LastWriteAt >= Params.RewriteAfter;
}

void SilentAgentRecord::update() {
  const std::vector<SilentAgent> agents = ReadCurrentAgents();
  if (isWriteDue(agents))
    write(agents);
}

bool SilentAgentRecord::mayGrant(const std::string &agent) {
  if (PossibleAgents.count(agent) == 0)
    return true;
  update();
  return false;
}

// The condition on the key's revision keeps a write that is carried out late
// from replacing a later one.
void SilentAgentRecord::write(const std::vector<SilentAgent> &agents) {
  WriteUnderWay = true;
  LastWriteAt = Loop.now();
  std::set<std::string> names = namesOf(agents);
  PossibleAgents.insert(names.begin(), names.end());
  platform::StoreTxn txn;
  txn.Expected.push_back({Params.LeaderKey, Params.Epoch});
  txn.Expected.push_back({Params.Key, Revision});
  txn.Puts.push_back({Params.Key, encode(Params.Epoch, agents), 0});
  StoreClient.Transact(std::move(txn),
                       [this, alive = Alive, names = std::move(names)](
                           const StoreReply<StoreTxnReply> &reply) {
                         if (*alive)
                           onWritten(reply, names);
                       });
}

void SilentAgentRecord::onWritten(const StoreReply<StoreTxnReply> &reply,
                                  std::set<std::string> agents) {
  WriteUnderWay = false;
  if (reply.ok()) {
    if (agents != ConfirmedAgents)
      logEvent(Event::SilentAgentsRecorded,
               {{"epoch", Params.Epoch}, {"agents", agents.size()}});
    Revision = reply.Value.Revision;
    ConfirmedAgents = agents;
    PossibleAgents = std::move(agents);
    return;
  }
  if (reply.Status == StoreStatus::Conflict) {
    onConflict(reply.Value.Current);
    return;
  }
  WritesPausedUntil = Loop.now() + Params.RetryDelay;
}

// An earlier write of this leader has taken effect although its answer was
// lost, or another entry leads, which this entry learns of elsewhere.
void SilentAgentRecord::onConflict(const std::vector<KeyValue> &current) {
  auto it = std::find_if(
      current.begin(), current.end(),
      [this](const KeyValue &item) { return item.Key == Params.Key; });
  if (it != current.end())
    Revision = it->ModRevision;
  WritesPausedUntil = Loop.now() + Params.RetryDelay;
}

} // namespace oriolebay::entry
