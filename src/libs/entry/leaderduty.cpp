#include "leaderduty.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::entry {

using jobs::ProgressWrite;
using platform::KeyValue;
using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;

namespace {

/// A job's progress takes two conditions and one write; the leader's key is
/// one condition more.
constexpr size_t EntriesPerJob = 3;
constexpr size_t JobsPerTxn = (platform::MaxTxnEntries - 1) / EntriesPerJob;

const KeyValue *findItem(const std::vector<KeyValue> &items,
                         const std::string &key) {
  auto it = std::find_if(items.begin(), items.end(),
                         [&](const KeyValue &i) { return i.Key == key; });
  return it == items.end() ? nullptr : &*it;
}

} // namespace

LeaderDuty::LeaderDuty(utils::EventLoop &loop, const platform::Store &store,
                       const endpoints::Peers &peers, const jobs::JobView &view,
                       DutyOptions options, int64_t epoch, Confirmed confirmed,
                       OnDecision onDecision, OnTrouble onTrouble,
                       OnEnding onEnding, OnRecorded onRecorded,
                       OnDeposed onDeposed)
    : Loop(loop), Calls(store), Peers(peers), View(view),
      Options(std::move(options)), Epoch(epoch),
      LastConfirmed(std::move(confirmed)), Decided(std::move(onDecision)),
      Trouble(std::move(onTrouble)), Ending(std::move(onEnding)),
      Recorded(std::move(onRecorded)), Deposed(std::move(onDeposed)),
      Scheduler(Options.Policy, epoch, loop.now()) {}

LeaderDuty::~LeaderDuty() { *Alive = false; }

void LeaderDuty::enter(std::function<void()> entered) {
  Predecessors::Options options;
  options.LeaderKey = Options.LeaderKey;
  options.Mine = {Epoch, Options.Address};
  options.AllOverAfter = Options.Policy.UnheardLostAfter;
  Earlier = std::make_unique<Predecessors>(
      Loop, Calls, Peers, options,
      [this, entered = std::move(entered)] {
        Entered = true;
        entered();
      },
      [this](absl::Time gone) { Scheduler.onPredecessorsGone(gone); });
  Earlier->start();
}

void LeaderDuty::begin(const std::shared_ptr<const core::SiteConfig> &config) {
  Begun = true;
  const absl::Time now = Loop.now();
  Scheduler.onConfig(config);
  for (const auto &[id, job] : View.jobs()) {
    if (job.RecordRevision == 0)
      continue;
    Scheduler.onRecord(job.Record, job.RecordRevision, now);
    if (job.ProgressRevision > 0)
      Scheduler.onProgress(id, job.Progress, job.ProgressRevision, now);
  }
  tickLater();
  pumpSoon();
}

void LeaderDuty::onConfig(
    const std::shared_ptr<const core::SiteConfig> &config) {
  if (!Begun)
    return;
  Scheduler.onConfig(config);
  pumpSoon();
}

void LeaderDuty::onRecord(const jobs::StoredJob &job) {
  if (!Begun)
    return;
  Scheduler.onRecord(job.Record, job.RecordRevision, Loop.now());
  pumpSoon();
}

void LeaderDuty::onRemoved(const std::string &jobId) {
  if (Begun)
    Scheduler.onRecordRemoved(jobId);
}

endpoints::ReportAck
LeaderDuty::onReport(const endpoints::WorkerReport &report) {
  endpoints::ReportAck ack;
  if (!Begun)
    return ack;
  const absl::Time now = Loop.now();
  ack.Epoch = Epoch;
  ack.SeenUpto = Scheduler.onReport(report, now);
  ack.Speed = Scheduler.speedOf(report.Agent);
  // Without the store this entry may have been replaced: it goes on for a
  // bounded time, which a new leader waits for workers that it cannot reach.
  const absl::Duration unconfirmed = now - LastConfirmed();
  ack.Doubtful = unconfirmed > Options.DoubtfulAfter;
  if (report.Reachable && unconfirmed < Options.GrantWithoutStore)
    ack.GrantMs = absl::ToInt64Milliseconds(Options.Grant);
  pumpSoon();
  return ack;
}

void LeaderDuty::tickLater() {
  Loop.runAfter(Options.TickEvery, [this, alive = Alive] {
    if (!*alive)
      return;
    Scheduler.tick(Loop.now());
    removeExpired();
    pump();
    tickLater();
  });
}

// Facts that come together are decided on together.
void LeaderDuty::pumpSoon() {
  if (PumpQueued)
    return;
  PumpQueued = true;
  Loop.post([this, alive = Alive] {
    if (*alive)
      pump();
  });
}

void LeaderDuty::decide() {
  const absl::Time began = Loop.now();
  if (!Pacer.due(began))
    return;
  Scheduler.decide(began);
  Pacer.decided(began, Loop.now());
}

void LeaderDuty::pump() {
  PumpQueued = false;
  decide();
  writeProgress();
  sendOrders();
  for (const std::string &id : Scheduler.takeEnding())
    Ending(id);
  for (const jobs::Decision &decision : Scheduler.takeDecisions())
    Decided(decision);
}

void LeaderDuty::sendOrders() {
  // Orders without an answer are sent again by the scheduler's timers.
  for (const auto &[address, orders] : Scheduler.takeOrders())
    Peers.Call(address, orders, Options.AgentTimeoutMs,
               [](const std::optional<endpoints::Message> &) {});
}

void LeaderDuty::writeProgress() {
  if (Loop.now() < WritesHeldUntil)
    return;
  std::vector<ProgressWrite> batch;
  for (ProgressWrite &one : Scheduler.takeWrites()) {
    batch.push_back(std::move(one));
    if (batch.size() == JobsPerTxn)
      write(std::exchange(batch, {}));
  }
  if (!batch.empty())
    write(std::move(batch));
}

void LeaderDuty::write(std::vector<ProgressWrite> batch) {
  platform::StoreTxn txn;
  txn.Expected.push_back({Options.LeaderKey, Epoch});
  for (const ProgressWrite &one : batch) {
    txn.Expected.push_back({jobs::specKey(one.JobId), one.RecordRevision});
    txn.Expected.push_back(
        {jobs::progressKey(one.JobId), one.ProgressRevision});
    txn.Puts.push_back({jobs::progressKey(one.JobId), one.Value, 0});
  }
  Calls.Transact(std::move(txn),
                 [this, alive = Alive, batch = std::move(batch)](
                     const StoreReply<StoreTxnReply> &reply) {
                   if (!*alive)
                     return;
                   if (reply.ok()) {
                     onWritten(batch, reply.Value.Revision);
                   } else if (reply.Status == StoreStatus::Conflict) {
                     onConflict(batch, reply.Value.Current);
                   } else {
                     Trouble(reply.Status, reply.Why);
                     WritesHeldUntil = Loop.now() + Options.WriteRetry;
                     for (const ProgressWrite &one : batch)
                       Scheduler.onNotWritten(one.JobId);
                   }
                   pumpSoon();
                 });
}

void LeaderDuty::onWritten(const std::vector<ProgressWrite> &batch,
                           int64_t revision) {
  for (const ProgressWrite &one : batch) {
    Scheduler.onWritten(one.JobId, one.Progress.Version, revision, Loop.now());
    Recorded(one, revision);
  }
}

void LeaderDuty::onConflict(const std::vector<ProgressWrite> &batch,
                            const std::vector<KeyValue> &current) {
  const KeyValue *leader = findItem(current, Options.LeaderKey);
  if (leader == nullptr || leader->ModRevision != Epoch) {
    Deposed();
    return;
  }
  for (const ProgressWrite &one : batch)
    settleConflict(one, current);
}

// One of the batch's jobs was cancelled, or its earlier write was made after
// all although its answer was lost. The others are simply written again.
void LeaderDuty::settleConflict(const ProgressWrite &one,
                                const std::vector<KeyValue> &current) {
  const KeyValue *spec = findItem(current, jobs::specKey(one.JobId));
  const KeyValue *progress = findItem(current, jobs::progressKey(one.JobId));
  if (spec == nullptr) {
    Scheduler.onRecordRemoved(one.JobId);
    return;
  }
  utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        if (progress != nullptr &&
            progress->ModRevision != one.ProgressRevision) {
          BOOST_LEAF_AUTO(read, jobs::decodeProgress(progress->Value));
          Scheduler.onWritten(one.JobId, read.Version, progress->ModRevision,
                              Loop.now());
        }
        Scheduler.onNotWritten(one.JobId);
        if (spec->ModRevision != one.RecordRevision) {
          BOOST_LEAF_AUTO(record, jobs::decodeRecord(spec->Value));
          Scheduler.onRecord(record, spec->ModRevision, Loop.now());
        }
        return true;
      },
      [&](const utils::Error &e) {
        Trouble(StoreStatus::Conflict, e.text());
        Scheduler.onNotWritten(one.JobId);
        return false;
      });
}

// Finished jobs leave the store once callers have had time to ask.
void LeaderDuty::removeExpired() {
  if (Removing)
    return;
  std::vector<std::string> expired = Scheduler.takeExpired(Loop.now());
  if (expired.empty())
    return;
  expired.resize(std::min(expired.size(), JobsPerTxn));
  platform::StoreTxn txn;
  txn.Expected.push_back({Options.LeaderKey, Epoch});
  for (const std::string &id : expired) {
    txn.Removes.push_back(jobs::specKey(id));
    txn.Removes.push_back(jobs::progressKey(id));
  }
  Removing = true;
  Calls.Transact(std::move(txn), [this, alive = Alive, expired](
                                     const StoreReply<StoreTxnReply> &reply) {
    if (!*alive)
      return;
    Removing = false;
    if (!reply.ok()) {
      Trouble(reply.Status, reply.Why);
      return;
    }
    for (const std::string &id : expired)
      Scheduler.onRecordRemoved(id);
  });
}

} // namespace oriolebay::entry
