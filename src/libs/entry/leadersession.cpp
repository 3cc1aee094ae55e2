#include "leadersession.h"

#include "utils/eventloop.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oriolebay::entry {

using jobs::ProgressWrite;
using platform::KeyValue;
using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;

namespace {

/// The progress of a job needs two conditions and one write in a transaction.
/// The leader's key is one more condition.
constexpr size_t EntriesPerJob = 3;
constexpr size_t JobsPerTxn = (platform::MaxTxnEntries - 1) / EntriesPerJob;
/// The removal of a job needs two conditions and removes two keys.
constexpr size_t EntriesPerRemoval = 4;
constexpr size_t RemovalsPerTxn =
    (platform::MaxTxnEntries - 1) / EntriesPerRemoval;

/// Says which job of a batch that was not written may be the cause by its size.
std::string describeFailure(const std::string &why,
                            const std::vector<ProgressWrite> &batch) {
  const auto largest =
      std::max_element(batch.begin(), batch.end(),
                       [](const ProgressWrite &a, const ProgressWrite &b) {
                         return a.Value.size() < b.Value.size();
                       });
  return absl::StrCat(why, "; progress of ", batch.size(),
                      " jobs, the largest that of ", largest->JobId, ", ",
                      largest->Value.size(), " bytes");
}

} // namespace

LeaderSession::LeaderSession(
    utils::EventLoop &loop, const platform::Store &store,
    const endpoints::Peers &peers, const jobs::JobView &view,
    const operators::CordonFollower &cordons, LeaderSessionOptions options,
    int64_t epoch, ConfirmationTime confirmed, OnDecision onDecision,
    OnStoreError onStoreError, OnEnding onEnding, OnRecorded onRecorded,
    OnRecordRead onRecordRead, OnLeadershipLost onLeadershipLost)
    : Loop(loop), StoreClient(store), Peers(peers), View(view),
      Cordons(cordons), Options(std::move(options)), Epoch(epoch),
      LastConfirmed(std::move(confirmed)),
      ReportDecision(std::move(onDecision)),
      ReportStoreError(std::move(onStoreError)),
      ReportEnding(std::move(onEnding)), ReportRecorded(std::move(onRecorded)),
      ReportRecordRead(std::move(onRecordRead)),
      ReportLeadershipLost(std::move(onLeadershipLost)),
      Scheduler(Options.Policy, epoch, loop.now()), MaxBatchJobs(JobsPerTxn) {}

LeaderSession::~LeaderSession() { *Alive = false; }

void LeaderSession::registerLeader(std::function<void()> onRegistered) {
  OnRegistered = std::move(onRegistered);
  readSilentAgents();
  PreviousLeaders::Options options;
  options.LeaderKey = Options.LeaderKey;
  options.OwnTerm = {Epoch, Options.Address};
  options.TimeLimit = Options.Policy.UnreportedLostAfter;
  Previous = std::make_unique<PreviousLeaders>(
      Loop, StoreClient, Peers, options,
      [this] {
        InLeaderList = true;
        completeRegistration();
      },
      [this](absl::Time endTime) {
        Scheduler.onPreviousLeadersEnded(endTime);
      });
  Previous->start();
}

void LeaderSession::readSilentAgents() {
  SilentAgentRecord::Options options;
  options.LeaderKey = Options.LeaderKey;
  options.Epoch = Epoch;
  SilentAgents =
      std::make_unique<SilentAgentRecord>(Loop, StoreClient, options, [this] {
        return Scheduler.silentAgents(Loop.now());
      });
  SilentAgents->read([this] { completeRegistration(); });
}

void LeaderSession::completeRegistration() {
  if (!InLeaderList || !SilentAgents->isRead())
    return;
  Scheduler.adoptSilentAgents(
      SilentAgents->agentsUnder(Previous->previousEpoch()));
  Registered = true;
  OnRegistered();
}

void LeaderSession::begin(
    const std::shared_ptr<const core::SiteConfig> &config) {
  Running = true;
  const absl::Time now = Loop.now();
  Scheduler.onConfig(config);
  Scheduler.onCordons(Cordons.current());
  for (const auto &[id, job] : View.jobs()) {
    if (job.RecordRevision == 0)
      continue;
    Scheduler.onRecord(job.Record, job.RecordRevision, now);
    if (job.ProgressRevision == 0)
      continue;
    if (const auto progress = decodeOrReport(job.Progress))
      Scheduler.onProgress(id, *progress, job.ProgressRevision, now);
  }
  scheduleTick();
  postPass();
}

std::optional<jobs::JobProgress>
LeaderSession::decodeOrReport(const std::string &value) const {
  return utils::handle<std::optional<jobs::JobProgress>>(
      [&]() -> utils::Result<std::optional<jobs::JobProgress>> {
        BOOST_LEAF_AUTO(progress, jobs::decodeProgress(value));
        return std::optional<jobs::JobProgress>(std::move(progress));
      },
      [&](const utils::Error &e) {
        ReportStoreError(StoreStatus::Conflict, e.text());
        return std::optional<jobs::JobProgress>();
      });
}

void LeaderSession::onConfig(
    const std::shared_ptr<const core::SiteConfig> &config) {
  if (!Running)
    return;
  Scheduler.onConfig(config);
  postPass();
}

void LeaderSession::onCordons(const core::Cordons &cordons) {
  if (!Running)
    return;
  Scheduler.onCordons(cordons);
  postPass();
}

void LeaderSession::onRecord(const jobs::StoredJob &job) {
  if (!Running)
    return;
  Scheduler.onRecord(job.Record, job.RecordRevision, Loop.now());
  postPass();
}

void LeaderSession::onRemoved(const std::string &jobId) {
  if (Running)
    Scheduler.onRecordRemoved(jobId);
}

endpoints::ReportAck
LeaderSession::onReport(const endpoints::WorkerReport &report) {
  endpoints::ReportAck ack;
  if (!Running)
    return ack;
  const absl::Time now = Loop.now();
  ack.Epoch = Epoch;
  ack.SeenUpto = Scheduler.onReport(report, now);
  ack.Speed = Scheduler.speedOf(report.Agent);
  ack.SpeedWithGangs = Scheduler.speedWithGangsOf(report.Agent);
  ack.EarlierStarts = Scheduler.earlierStarts(report, now);
  if (Cordons.isConfirmed()) {
    ack.Cordoned = Cordons.current().contains(report.Worker.FailureDomain);
    ack.CordonAgeMs = absl::ToInt64Milliseconds(
        absl::Ceil(Cordons.age(now), absl::Milliseconds(1)));
  }
  // Without confirmation from the store this entry may have been replaced. It
  // continues to grant for GrantWithoutStore. A new leader waits for that time
  // and the last grant before it counts tasks on unreachable workers as lost.
  const absl::Duration unconfirmedFor = now - LastConfirmed();
  ack.Doubtful = unconfirmedFor > Options.DoubtfulAfter;
  if (report.Reachable && unconfirmedFor < Options.GrantWithoutStore &&
      SilentAgents->mayGrant(report.Agent))
    ack.GrantMs = absl::ToInt64Milliseconds(Options.Grant);
  postPass();
  return ack;
}

void LeaderSession::scheduleTick() {
  Loop.runAfter(Options.TickEvery, [this, alive = Alive] {
    if (!*alive)
      return;
    Scheduler.tick(Loop.now());
    // Without the store, an agent that reports again would get no grant until
    // the store has confirmed that it is out of the record.
    if (Loop.now() - LastConfirmed() <= Options.DoubtfulAfter)
      SilentAgents->update();
    removeExpiredJobs();
    runPass();
    scheduleTick();
  });
}

// Posts one pass for all inputs that arrive before it runs, so that they are
// covered by one decision.
void LeaderSession::postPass() {
  if (PassPosted)
    return;
  PassPosted = true;
  Loop.post([this, alive = Alive] {
    if (*alive)
      runPass();
  });
}

void LeaderSession::decideIfDue() {
  const absl::Time began = Loop.now();
  if (!Pacer.isDue(began))
    return;
  Scheduler.decide(began);
  Pacer.recordDecision(began, Loop.now());
}

// Decides if a decision is due, and passes on what the scheduler produced.
void LeaderSession::runPass() {
  PassPosted = false;
  decideIfDue();
  writeProgress();
  sendOrders();
  for (const std::string &id : Scheduler.takeEndingJobs())
    ReportEnding(id);
  for (const jobs::Decision &decision : Scheduler.takeDecisions())
    ReportDecision(decision);
}

void LeaderSession::sendOrders() {
  // The scheduler sends orders again that were not answered in time.
  for (const auto &[address, orders] : Scheduler.takeOrders())
    Peers.Call(address, orders, Options.AgentTimeoutMs,
               [](const endpoints::PeerReply &) {});
}

// A large record has a transaction of its own, so that small ones do not wait
// for its bytes.
void LeaderSession::writeProgress() {
  if (Loop.now() < WritesPausedUntil)
    return;
  std::vector<ProgressWrite> batch;
  for (ProgressWrite &progressWrite : Scheduler.takeWrites(Loop.now())) {
    if (progressWrite.Value.size() > Options.Policy.SmallRecordBytes) {
      writeBatch({std::move(progressWrite)});
      continue;
    }
    if (batch.size() >= MaxBatchJobs)
      writeBatch(std::exchange(batch, {}));
    batch.push_back(std::move(progressWrite));
  }
  if (!batch.empty())
    writeBatch(std::move(batch));
}

// Writes the progress of several jobs in one transaction, on condition that
// this entry still leads and that no record in it has changed since.
void LeaderSession::writeBatch(std::vector<ProgressWrite> batch) {
  platform::StoreTxn txn;
  txn.Expected.push_back({Options.LeaderKey, Epoch});
  for (const ProgressWrite &progressWrite : batch) {
    txn.Expected.push_back(
        {jobs::specKey(progressWrite.JobId), progressWrite.RecordRevision});
    txn.Expected.push_back({jobs::progressKey(progressWrite.JobId),
                            progressWrite.ProgressRevision});
    txn.Puts.push_back(
        {jobs::progressKey(progressWrite.JobId), progressWrite.Value, 0});
    ProgressBytesWritten += progressWrite.Value.size();
  }
  StoreClient.Transact(
      std::move(txn), [this, alive = Alive, batch = std::move(batch)](
                          const StoreReply<StoreTxnReply> &reply) {
        if (!*alive)
          return;
        if (reply.ok()) {
          onWritten(batch, reply.Value.Revision);
        } else if (reply.Status == StoreStatus::Conflict) {
          onConflict(batch, reply.Value.Current);
        } else {
          ReportStoreError(reply.Status, describeFailure(reply.Why, batch));
          onWriteFailed(batch);
        }
        postPass();
      });
}

void LeaderSession::onWriteFailed(const std::vector<ProgressWrite> &batch) {
  WritesPausedUntil = Loop.now() + Options.WriteRetryDelay;
  MaxBatchJobs = std::max<size_t>(1, batch.size() / 2);
  for (const ProgressWrite &progressWrite : batch)
    Scheduler.onWriteFailed(progressWrite.JobId);
}

void LeaderSession::onWritten(const std::vector<ProgressWrite> &batch,
                              int64_t revision) {
  MaxBatchJobs = std::min(2 * MaxBatchJobs, JobsPerTxn);
  for (const ProgressWrite &progressWrite : batch) {
    Scheduler.onWritten(progressWrite.JobId, progressWrite.Version, revision,
                        Loop.now());
    ReportRecorded(progressWrite, revision);
  }
}

bool LeaderSession::isLeaderIn(const std::vector<KeyValue> &current) const {
  const KeyValue *leader = findItem(current, Options.LeaderKey);
  return leader != nullptr && leader->ModRevision == Epoch;
}

void LeaderSession::onConflict(const std::vector<ProgressWrite> &batch,
                               const std::vector<KeyValue> &current) {
  if (!isLeaderIn(current)) {
    ReportLeadershipLost();
    return;
  }
  for (const ProgressWrite &progressWrite : batch)
    resolveConflict(progressWrite, current);
}

// Resolves the conflict for one job of a batch: its record was removed or
// changed (a cancellation), or its earlier write took effect although the
// answer was lost. Jobs that still exist are written again.
void LeaderSession::resolveConflict(const ProgressWrite &progressWrite,
                                    const std::vector<KeyValue> &current) {
  const KeyValue *spec = findItem(current, jobs::specKey(progressWrite.JobId));
  const KeyValue *progress =
      findItem(current, jobs::progressKey(progressWrite.JobId));
  if (spec == nullptr) {
    Scheduler.onRecordRemoved(progressWrite.JobId);
    return;
  }
  if (progress != nullptr &&
      progress->ModRevision != progressWrite.ProgressRevision)
    adoptProgress(progressWrite.JobId, *progress);
  Scheduler.onWriteFailed(progressWrite.JobId);
  if (spec->ModRevision != progressWrite.RecordRevision)
    ReportRecordRead(*spec);
}

bool LeaderSession::adoptProgress(const std::string &jobId,
                                  const KeyValue &progress) {
  const auto read = decodeOrReport(progress.Value);
  if (!read)
    return false;
  Scheduler.onWritten(jobId, read->Version, progress.ModRevision, Loop.now());
  return true;
}

// Removes finished jobs from the store after callers have had time to read
// their result. The conditions keep a removal that is carried out late from
// removing a job that was accepted under the same id in the meantime.
void LeaderSession::removeExpiredJobs() {
  if (RemovalPending)
    return;
  std::vector<jobs::ExpiredJob> expired = Scheduler.takeExpiredJobs(Loop.now());
  std::erase_if(expired, [this](const jobs::ExpiredJob &job) {
    return UnremovableJobs.count(job.JobId) > 0;
  });
  if (expired.empty())
    return;
  expired.resize(std::min(expired.size(), RemovalsPerTxn));
  platform::StoreTxn txn;
  txn.Expected.push_back({Options.LeaderKey, Epoch});
  for (const jobs::ExpiredJob &job : expired) {
    txn.Expected.push_back({jobs::specKey(job.JobId), job.RecordRevision});
    txn.Expected.push_back(
        {jobs::progressKey(job.JobId), job.ProgressRevision});
    txn.Removes.push_back(jobs::specKey(job.JobId));
    txn.Removes.push_back(jobs::progressKey(job.JobId));
  }
  RemovalPending = true;
  StoreClient.Transact(
      std::move(txn),
      [this, alive = Alive, expired](const StoreReply<StoreTxnReply> &reply) {
        if (!*alive)
          return;
        RemovalPending = false;
        onRemovalReply(expired, reply);
      });
}

void LeaderSession::onRemovalReply(const std::vector<jobs::ExpiredJob> &expired,
                                   const StoreReply<StoreTxnReply> &reply) {
  if (reply.ok()) {
    for (const jobs::ExpiredJob &job : expired)
      Scheduler.onRecordRemoved(job.JobId);
  } else if (reply.Status != StoreStatus::Conflict) {
    ReportStoreError(reply.Status, reply.Why);
  } else if (!isLeaderIn(reply.Value.Current)) {
    ReportLeadershipLost();
  } else {
    for (const jobs::ExpiredJob &job : expired)
      resolveConflict(job, reply.Value.Current);
  }
}

// Resolves the conflict for one job that was to be removed: an earlier removal
// took effect although its answer was lost, the job was cancelled after its
// end, or another one has been accepted under its id.
void LeaderSession::resolveConflict(const jobs::ExpiredJob &expired,
                                    const std::vector<KeyValue> &current) {
  const KeyValue *spec = findItem(current, jobs::specKey(expired.JobId));
  const KeyValue *progress =
      findItem(current, jobs::progressKey(expired.JobId));
  const int64_t progressRevision =
      progress == nullptr ? 0 : progress->ModRevision;
  if (spec == nullptr)
    Scheduler.onRecordRemoved(expired.JobId);
  else if (spec->ModRevision != expired.RecordRevision)
    ReportRecordRead(*spec);
  else if (progressRevision == expired.ProgressRevision)
    return;
  else if (progress == nullptr || !adoptProgress(expired.JobId, *progress))
    UnremovableJobs.insert(expired.JobId);
}

} // namespace oriolebay::entry
