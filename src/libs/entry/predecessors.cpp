#include "predecessors.h"

#include "utils/eventloop.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace oriolebay::entry {

using nlohmann::json;
using platform::StoreStatus;

namespace {

std::string encode(const std::vector<Reign> &reigns) {
  json list = json::array();
  for (const Reign &r : reigns)
    list.push_back({r.Epoch, r.Address});
  return list.dump();
}

// An unreadable list counts as empty only after its reader has said so: the
// caller then waits for the longest that a leader may go on.
bool decode(const std::string &value, std::vector<Reign> &reigns) {
  const json list = json::parse(value, nullptr, false);
  if (!list.is_array())
    return false;
  for (const json &r : list) {
    if (!r.is_array() || r.size() != 2 || !r[0].is_number_integer() ||
        !r[1].is_string())
      return false;
    reigns.push_back({r[0].get<int64_t>(), r[1].get<std::string>()});
  }
  return true;
}

} // namespace

Predecessors::Predecessors(utils::EventLoop &loop, const platform::Store &store,
                           const endpoints::Peers &peers, Options options,
                           OnEntered onEntered, OnGone onGone)
    : Loop(loop), Calls(store), Peers(peers), Setup(std::move(options)),
      Entered(std::move(onEntered)), Gone(std::move(onGone)) {}

Predecessors::~Predecessors() { *Alive = false; }

void Predecessors::readLater() {
  Loop.runAfter(Setup.AskAgain, [this, alive = Alive] {
    if (*alive)
      read();
  });
}

void Predecessors::read() {
  Calls.Get(Setup.Key,
            [this, alive = Alive](
                const platform::StoreReply<platform::KeyValue> &reply) {
              if (*alive)
                onRead(reply);
            });
}

void Predecessors::onRead(
    const platform::StoreReply<platform::KeyValue> &reply) {
  if (reply.Status == StoreStatus::NotFound) {
    enter({}, 0);
    return;
  }
  std::vector<Reign> earlier;
  if (!reply.ok() || !decode(reply.Value.Value, earlier)) {
    readLater();
    return;
  }
  const auto mine = std::find(earlier.begin(), earlier.end(), Setup.Mine);
  const bool entered = mine != earlier.end();
  if (entered)
    earlier.erase(mine);
  if (!entered) {
    enter(std::move(earlier), reply.Value.ModRevision);
    return;
  }
  // The answer to this entry's own write had been lost.
  Earlier = std::move(earlier);
  Revision = reply.Value.ModRevision;
  askAll();
}

void Predecessors::enter(std::vector<Reign> earlier, int64_t revision) {
  std::vector<Reign> all = earlier;
  all.push_back(Setup.Mine);
  platform::StoreTxn txn;
  txn.Expected.push_back({Setup.LeaderKey, Setup.Mine.Epoch});
  txn.Expected.push_back({Setup.Key, revision});
  txn.Puts.push_back({Setup.Key, encode(all), 0});
  Calls.Transact(
      std::move(txn),
      [this, alive = Alive, earlier = std::move(earlier)](
          const platform::StoreReply<platform::StoreTxnReply> &reply) {
        if (!*alive)
          return;
        if (!reply.ok()) {
          readLater();
          return;
        }
        Earlier = earlier;
        Revision = reply.Value.Revision;
        askAll();
      });
}

void Predecessors::askAll() {
  Entered();
  if (Earlier.empty()) {
    Gone(Loop.now());
    return;
  }
  Loop.runAfter(Setup.AllOverAfter, [this, alive = Alive] {
    if (*alive)
      allOver();
  });
  for (const Reign &reign : std::vector<Reign>(Earlier))
    ask(reign);
}

void Predecessors::ask(const Reign &reign) {
  // This process has given up its earlier reigns by itself.
  if (reign.Address == Setup.Mine.Address) {
    stoodDown(reign);
    return;
  }
  Peers.Call(reign.Address, endpoints::StandDown{Setup.Mine.Epoch},
             Setup.PeerTimeoutMs,
             [this, alive = Alive,
              reign](const std::optional<endpoints::Message> &reply) {
               if (!*alive)
                 return;
               const auto *ack =
                   reply ? std::get_if<endpoints::Ack>(&*reply) : nullptr;
               if (ack != nullptr && ack->Ok) {
                 stoodDown(reign);
                 return;
               }
               Loop.runAfter(Setup.AskAgain, [this, alive, reign] {
                 if (*alive && !Earlier.empty())
                   ask(reign);
               });
             });
}

void Predecessors::stoodDown(const Reign &reign) {
  if (Earlier.empty())
    return;
  Earlier.erase(std::remove(Earlier.begin(), Earlier.end(), reign),
                Earlier.end());
  if (Earlier.empty())
    noneLeft();
}

// Counted from when this leader entered itself, which is after its election.
void Predecessors::allOver() {
  if (Earlier.empty())
    return;
  Earlier.clear();
  noneLeft();
}

void Predecessors::noneLeft() {
  Gone(Loop.now());
  forgetAll();
}

void Predecessors::forgetAll() {
  platform::StoreTxn txn;
  txn.Expected.push_back({Setup.LeaderKey, Setup.Mine.Epoch});
  txn.Expected.push_back({Setup.Key, Revision});
  txn.Puts.push_back({Setup.Key, encode({Setup.Mine}), 0});
  // A conflict means that another has written the list since, or that this very
  // write was made and its answer lost.
  Calls.Transact(std::move(txn),
                 [this, alive = Alive](
                     const platform::StoreReply<platform::StoreTxnReply> &r) {
                   if (!*alive || r.ok() || r.Status == StoreStatus::Conflict)
                     return;
                   Loop.runAfter(Setup.AskAgain, [this, alive] {
                     if (*alive)
                       forgetAll();
                   });
                 });
}

} // namespace oriolebay::entry
