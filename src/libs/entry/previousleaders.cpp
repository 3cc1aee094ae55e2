#include "previousleaders.h"

#include "eventlog/eventlog.h"
#include "utils/eventloop.h"
#include "utils/jsonfields.h"
#include "utils/jsontext.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace oriolebay::entry {

using nlohmann::json;
using platform::StoreStatus;

namespace {

std::string encode(const std::vector<LeaderTerm> &terms) {
  json list = json::array();
  for (const LeaderTerm &term : terms)
    list.push_back({term.Epoch, term.Address});
  return utils::toJsonText(list);
}

/// Stands for the terms in the list that cannot be read. They must not be
/// dropped: their leaders may still keep tasks alive.
const LeaderTerm UnknownTerm;

LeaderTerm decodeRow(const json &row) {
  if (!row.is_array() || row.size() != 2 || !row[0].is_number_integer() ||
      !row[1].is_string())
    return UnknownTerm;
  return {utils::toInt64(row[0]), row[1].get<std::string>()};
}

/// Decodes the list that the leader of ownTerm has read, in which each other
/// term is an earlier one.
std::vector<LeaderTerm> decode(const std::string &value,
                               const LeaderTerm &ownTerm) {
  const auto list = utils::parseJson(value);
  if (!list || !list->is_array())
    return {UnknownTerm};
  std::vector<LeaderTerm> terms;
  bool hasUnknown = false;
  for (const json &row : *list) {
    LeaderTerm term = decodeRow(row);
    if (term == ownTerm || (term.Epoch > 0 && term.Epoch < ownTerm.Epoch))
      terms.push_back(std::move(term));
    else
      hasUnknown = true;
  }
  if (hasUnknown)
    terms.push_back(UnknownTerm);
  return terms;
}

bool hasUnknownTerm(const std::vector<LeaderTerm> &terms) {
  return std::find(terms.begin(), terms.end(), UnknownTerm) != terms.end();
}

} // namespace

PreviousLeaders::PreviousLeaders(utils::EventLoop &loop,
                                 const platform::Store &store,
                                 const endpoints::Peers &peers, Options options,
                                 OnRegistered onRegistered,
                                 OnAllEnded onAllEnded)
    : Loop(loop), StoreClient(store), Peers(peers), Params(std::move(options)),
      ReportRegistered(std::move(onRegistered)),
      ReportAllEnded(std::move(onAllEnded)) {}

PreviousLeaders::~PreviousLeaders() { *Alive = false; }

void PreviousLeaders::scheduleRead() {
  Loop.runAfter(Params.RetryDelay, [this, alive = Alive] {
    if (*alive)
      read();
  });
}

void PreviousLeaders::read() {
  StoreClient.Get(Params.Key,
                  [this, alive = Alive](
                      const platform::StoreReply<platform::KeyValue> &reply) {
                    if (*alive)
                      onRead(reply);
                  });
}

void PreviousLeaders::onRead(
    const platform::StoreReply<platform::KeyValue> &reply) {
  if (reply.Status == StoreStatus::NotFound) {
    registerTerm({}, 0);
    return;
  }
  if (!reply.ok()) {
    scheduleRead();
    return;
  }
  std::vector<LeaderTerm> previousTerms =
      decode(reply.Value.Value, Params.OwnTerm);
  if (hasUnknownTerm(previousTerms))
    eventlog::logEvent(
        eventlog::Event::RecordRefused,
        {{"key", Params.Key},
         {"error", "the list of leaders holds terms that cannot be read; they "
                   "are waited for as long as a leader can go on alone"},
         {"waits_ms", absl::ToInt64Milliseconds(Params.TimeLimit)}});
  const auto ownTerm =
      std::find(previousTerms.begin(), previousTerms.end(), Params.OwnTerm);
  const bool isRegistered = ownTerm != previousTerms.end();
  if (isRegistered)
    previousTerms.erase(ownTerm);
  if (!isRegistered) {
    registerTerm(std::move(previousTerms), reply.Value.ModRevision);
    return;
  }
  // This entry is registered already: the answer to its own write was lost.
  PreviousTerms = std::move(previousTerms);
  Revision = reply.Value.ModRevision;
  completeRegistration();
}

// Adds this leader to the list, on condition that it still leads and that the
// list has the given revision (zero: does not exist). After a failure the list
// is read again.
void PreviousLeaders::registerTerm(std::vector<LeaderTerm> previousTerms,
                                   int64_t revision) {
  std::vector<LeaderTerm> all = previousTerms;
  all.push_back(Params.OwnTerm);
  platform::StoreTxn txn;
  txn.Expected.push_back({Params.LeaderKey, Params.OwnTerm.Epoch});
  txn.Expected.push_back({Params.Key, revision});
  txn.Puts.push_back({Params.Key, encode(all), 0});
  StoreClient.Transact(
      std::move(txn),
      [this, alive = Alive, previousTerms = std::move(previousTerms)](
          const platform::StoreReply<platform::StoreTxnReply> &reply) {
        if (!*alive)
          return;
        if (!reply.ok()) {
          scheduleRead();
          return;
        }
        PreviousTerms = previousTerms;
        Revision = reply.Value.Revision;
        completeRegistration();
      });
}

// Reports that this leader is registered, and asks the previous leaders to step
// down. If there are none, that is reported at once.
void PreviousLeaders::completeRegistration() {
  if (!hasUnknownTerm(PreviousTerms))
    for (const LeaderTerm &term : PreviousTerms)
      PreviousEpoch = std::max(PreviousEpoch, term.Epoch);
  ReportRegistered();
  if (PreviousTerms.empty()) {
    ReportAllEnded(Loop.now());
    return;
  }
  Loop.runAfter(Params.TimeLimit, [this, alive = Alive] {
    if (*alive)
      onTimeLimit();
  });
  for (const LeaderTerm &term : std::vector<LeaderTerm>(PreviousTerms))
    requestStepDown(term);
}

// Repeats the request until the leader confirms or the time limit has passed. A
// leader that cannot be asked is waited for.
void PreviousLeaders::requestStepDown(const LeaderTerm &term) {
  // This process has ended its own earlier terms already.
  if (term.Address == Params.OwnTerm.Address) {
    onSteppedDown(term);
    return;
  }
  if (!Peers.IsAddress(term.Address))
    return;
  Peers.Call(term.Address, endpoints::StandDown{Params.OwnTerm.Epoch},
             Params.PeerTimeoutMs,
             [this, alive = Alive, term](const endpoints::PeerReply &reply) {
               if (!*alive)
                 return;
               const auto *ack = reply.get<endpoints::Ack>();
               if (ack != nullptr && ack->Ok) {
                 onSteppedDown(term);
                 return;
               }
               Loop.runAfter(Params.RetryDelay, [this, alive, term] {
                 if (*alive && !PreviousTerms.empty())
                   requestStepDown(term);
               });
             });
}

void PreviousLeaders::onSteppedDown(const LeaderTerm &term) {
  if (PreviousTerms.empty())
    return;
  PreviousTerms.erase(
      std::remove(PreviousTerms.begin(), PreviousTerms.end(), term),
      PreviousTerms.end());
  if (PreviousTerms.empty())
    onNoneLeft();
}

// The time limit counts from this leader's election. The timer starts at its
// registration, which is later, so it never ends too early.
void PreviousLeaders::onTimeLimit() {
  if (PreviousTerms.empty())
    return;
  PreviousTerms.clear();
  onNoneLeft();
}

void PreviousLeaders::onNoneLeft() {
  ReportAllEnded(Loop.now());
  removePreviousTerms();
}

// Reduces the list in the store to this leader.
void PreviousLeaders::removePreviousTerms() {
  platform::StoreTxn txn;
  txn.Expected.push_back({Params.LeaderKey, Params.OwnTerm.Epoch});
  txn.Expected.push_back({Params.Key, Revision});
  txn.Puts.push_back({Params.Key, encode({Params.OwnTerm}), 0});
  // A conflict means that another entry has written the list since, or that
  // this write took effect and its answer was lost.
  StoreClient.Transact(
      std::move(txn),
      [this,
       alive = Alive](const platform::StoreReply<platform::StoreTxnReply> &r) {
        if (!*alive || r.ok() || r.Status == StoreStatus::Conflict)
          return;
        Loop.runAfter(Params.RetryDelay, [this, alive] {
          if (*alive)
            removePreviousTerms();
        });
      });
}

} // namespace oriolebay::entry
