#include "recorder.h"

#include "core/codec.h"
#include "platform/leaderelection.h"
#include "utils/jsonfields.h"
#include "utils/jsontext.h"
#include "utils/steadyclock.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oriolebay::entry {

using core::JobAnswer;
using core::NotRunReason;
using nlohmann::json;
using platform::Compare;
using platform::KeyValue;
using platform::Write;
using utils::steadyNow;

namespace {
const char *const GangPrefix = "/oriolebay/gangs/";
const char *const RequestPrefix = "/oriolebay/requests/";
constexpr int WriteAttempts = 3;
// Time for which the store counts as down after a failed call, so that in an
// outage each caller is answered at once and not after timeouts of its own.
const absl::Duration StoreDownTime = absl::Milliseconds(500);
const absl::Duration EndRetryPeriod = absl::Milliseconds(100);

std::string gangKey(const scheduler::RunId &run) {
  return absl::StrCat(GangPrefix, run);
}

std::string requestKey(const core::JobRequest &job) {
  return absl::StrCat(RequestPrefix, job.Organisation, "/", job.IdempotencyKey);
}

Compare leadsWithEpoch(int64_t epoch) {
  return {platform::LeaderKey, Compare::Field::CreateRevision, epoch};
}

/// The record of a request with an idempotency key: the gang that runs it, and
/// its answer once there is one.
struct RequestRecord {
  std::string Gang;
  std::optional<JobAnswer> Answer;
};

// Any part of a record that is unreadable counts as missing.
RequestRecord decodeRequestRecord(const std::string &value) {
  RequestRecord record;
  const auto j = utils::parseJson(value);
  if (!j)
    return record;
  record.Gang = utils::textIn(*j, "gang");
  try {
    if (j->contains("answer"))
      record.Answer = j->at("answer").get<JobAnswer>();
  } catch (const json::exception &) {
    record.Answer.reset();
  }
  return record;
}

bool leads(int64_t epoch, const std::vector<KeyValue> &current) {
  return std::any_of(current.begin(), current.end(), [&](const KeyValue &kv) {
    return kv.Key == platform::LeaderKey && kv.CreateRevision == epoch;
  });
}

// Returns the record of the request among the items of a condition, or null.
const KeyValue *requestItem(const std::vector<KeyValue> &current) {
  auto it =
      std::find_if(current.begin(), current.end(), [](const KeyValue &kv) {
        return kv.Key != platform::LeaderKey;
      });
  return it == current.end() ? nullptr : &*it;
}

json gangRecord(const scheduler::StartGang &start) {
  return {{"run", start.Run},
          {"gang", start.Request.GangId},
          {"job", start.Request.Job},
          {"workers", start.Workers},
          {"attempt", start.Attempt}};
}
} // namespace

Recorder::Recorder(platform::KvClient &kv, size_t capacity,
                   int64_t retryAfterMs, OnOutcome onOutcome,
                   OnStoreError onError)
    : Kv(kv), RetryAfterMs(retryAfterMs), DeliverOutcome(std::move(onOutcome)),
      ReportError(std::move(onError)), Requests(capacity),
      Thread([this] { processRequests(); }) {}

Recorder::~Recorder() { stop(); }

void Recorder::stop() {
  Requests.close();
  if (!StopRequested.HasBeenNotified())
    StopRequested.Notify();
  if (Thread.joinable())
    Thread.join();
}

bool Recorder::recordStart(RecordStart request) {
  return Requests.tryPush(std::move(request));
}

void Recorder::recordEnd(DeleteRecord request) {
  // If the deletion were dropped, a later leader would adopt a run that has
  // ended. Therefore wait until the queue has space; the thread empties it
  // continuously.
  Request item = std::move(request);
  while (!Requests.tryPush(item) && !StopRequested.HasBeenNotified())
    absl::SleepFor(absl::Milliseconds(1));
}

void Recorder::processRequests() {
  while (true) {
    std::optional<Request> request = Requests.pop(
        PendingEnds.empty() ? absl::InfiniteDuration() : EndRetryPeriod);
    if (!request && StopRequested.HasBeenNotified())
      break;
    if (request && std::holds_alternative<RecordStart>(*request))
      writeStart(std::get<RecordStart>(*request));
    else if (request)
      PendingEnds.push_back(std::get<DeleteRecord>(std::move(*request)));
    // Starts are written first, because callers wait for them.
    if (Requests.size() == 0)
      writeEnds();
  }
  writeEnds();
}

// Writes one transaction.
Recorder::WriteReply Recorder::write(const std::vector<Compare> &conditions,
                                     const std::vector<Write> &writes) {
  if (steadyNow() < StoreDownUntil)
    return {};
  return utils::handle<WriteReply>(
      [&]() -> utils::Result<WriteReply> {
        BOOST_LEAF_AUTO(reply, Kv.txn(conditions, writes));
        return WriteReply{reply.Succeeded ? WriteResult::Done
                                          : WriteResult::Conflict,
                          reply.Revision, reply.Current};
      },
      [&](const utils::Error &e) {
        ReportError(e);
        return WriteReply{};
      });
}

core::JobAnswer Recorder::refusal(const RecordStart &request,
                                  const std::string &detail) const {
  return core::notRun(request.Start.Request.Job.Id,
                      NotRunReason::StoreUnavailable, detail, RetryAfterMs);
}

// Determines why a conditional write was refused: another entry leads, a
// request with the idempotency key has been answered already (its answer is
// returned), another gang holds the key, the record that was to be replaced no
// longer exists, or an earlier write of this run took effect although its reply
// was lost. In the last two cases the write can be retried: sets canRetry, and
// keyRevision to the revision of the idempotency key that the retry must
// expect.
RecordOutcome
Recorder::explainConflict(const RecordStart &request,
                          const std::vector<KeyValue> &currentItems,
                          bool &canRetry, int64_t &keyRevision) {
  RecordOutcome out{RecordOutcome::Kind::LeadershipLost, request, {}, "", 0};
  const core::JobRequest &job = request.Start.Request.Job;
  if (!leads(request.Epoch, currentItems))
    return out;
  const KeyValue *priorRecord = requestItem(currentItems);
  out.What = RecordOutcome::Kind::Refused;
  canRetry = priorRecord == nullptr;
  if (priorRecord == nullptr) {
    keyRevision = 0;
    return out;
  }
  const RequestRecord record = decodeRequestRecord(priorRecord->Value);
  const JobAnswer *answer =
      record.Answer ? &*record.Answer : pendingAnswer(record.Gang);
  if (answer != nullptr) {
    out.Answer = *answer;
    out.Answer.JobId = job.Id;
    return out;
  }
  if (record.Gang == request.Start.Request.GangId) {
    canRetry = true;
    keyRevision = priorRecord->ModRevision;
    return out;
  }
  out.What = RecordOutcome::Kind::KeyInUse;
  out.Holder = record.Gang;
  out.HolderRevision = priorRecord->ModRevision;
  return out;
}

void Recorder::writeStart(const RecordStart &request) {
  const scheduler::StartGang &start = request.Start;
  const core::JobRequest &job = start.Request.Job;
  int64_t keyRevision = request.PriorRevision;
  const std::vector<Write> writes = [&] {
    std::vector<Write> out{
        {gangKey(start.Run), utils::toJsonText(gangRecord(start)), 0}};
    // At-most-once execution: the idempotency key is written in the same
    // transaction, before anything is started, so that a second request with it
    // is refused.
    if (!job.Idempotent)
      out.push_back({requestKey(job),
                     utils::toJsonText({{"gang", start.Request.GangId}}), 0});
    return out;
  }();
  for (int attempt = 0; attempt < WriteAttempts; ++attempt) {
    std::vector<Compare> conditions{leadsWithEpoch(request.Epoch)};
    if (!job.Idempotent)
      conditions.push_back(
          {requestKey(job), Compare::Field::ModRevision, keyRevision});
    const WriteReply reply = write(conditions, writes);
    if (reply.Result == WriteResult::Done)
      return DeliverOutcome(
          {RecordOutcome::Kind::Recorded, request, {}, "", 0, reply.Revision});
    if (reply.Result == WriteResult::Unknown)
      continue;
    bool canRetry = false;
    RecordOutcome out =
        explainConflict(request, reply.Current, canRetry, keyRevision);
    if (!canRetry)
      return DeliverOutcome(std::move(out));
  }
  // A write may have taken effect although no reply arrived. Nothing was
  // started, so the record is deleted as soon as the store answers.
  if (steadyNow() >= StoreDownUntil)
    StoreDownUntil = steadyNow() + StoreDownTime;
  PendingEnds.push_back(
      DeleteRecord{request.Epoch, start.Run, std::nullopt, "", {}});
  DeliverOutcome(
      {RecordOutcome::Kind::Refused, request,
       refusal(request, "the store did not confirm the start; nothing was "
                        "started"),
       "", 0});
}

// The store shows the gang as unfinished until its end is written, and the
// scheduler no longer knows it.
const JobAnswer *Recorder::pendingAnswer(const std::string &gangId) const {
  for (const DeleteRecord &end : PendingEnds)
    if (end.Answer && end.GangId == gangId)
      return &*end.Answer;
  return nullptr;
}

void Recorder::writeEnds() {
  while (!PendingEnds.empty() && steadyNow() >= StoreDownUntil) {
    if (writeEnd(PendingEnds.front()) == WriteResult::Unknown) {
      StoreDownUntil = steadyNow() + StoreDownTime;
      return;
    }
    // A conflict means that another entry leads. It has adopted the run and
    // resolves it.
    PendingEnds.pop_front();
  }
}

Recorder::WriteResult Recorder::writeEnd(DeleteRecord &end) {
  while (true) {
    std::vector<Compare> conditions{leadsWithEpoch(end.Epoch)};
    std::vector<Write> writes{{gangKey(end.Run), std::nullopt, 0}};
    if (end.Job && end.Answer) {
      conditions.push_back(
          {requestKey(*end.Job), Compare::Field::ModRevision, end.KeyRevision});
      writes.push_back(
          {requestKey(*end.Job),
           utils::toJsonText({{"gang", end.GangId}, {"answer", *end.Answer}}),
           0});
    }
    const WriteReply reply = write(conditions, writes);
    if (reply.Result != WriteResult::Conflict ||
        !adjustToConflict(end, reply.Current))
      return reply.Result;
  }
}

// Returns false if another entry leads. Otherwise the at-most-once record has
// another revision than expected. If another gang holds it, this one counted as
// not run: its start was recorded late, after its caller had been answered.
bool Recorder::adjustToConflict(DeleteRecord &end,
                                const std::vector<KeyValue> &current) {
  if (!leads(end.Epoch, current))
    return false;
  const KeyValue *record = requestItem(current);
  end.KeyRevision = record == nullptr ? 0 : record->ModRevision;
  if (record != nullptr &&
      decodeRequestRecord(record->Value).Gang != end.GangId)
    end.Answer.reset();
  return true;
}

utils::Result<std::vector<scheduler::AdoptedRun>> Recorder::loadUnendedRuns() {
  BOOST_LEAF_AUTO(kvs, Kv.list(GangPrefix));
  std::vector<scheduler::AdoptedRun> out;
  for (const KeyValue &kv : kvs) {
    const auto r = utils::parseJson(kv.Value);
    try {
      const json record = r ? *r : json();
      out.push_back({record.at("run").get<std::string>(),
                     {record.at("gang").get<std::string>(),
                      record.at("job").get<core::JobRequest>()},
                     record.at("workers").get<placement::Assignment>(),
                     record.at("attempt").get<int>()});
    } catch (const json::exception &) {
      return utils::fail(
          utils::ErrorKind::StoreBadReply,
          "the record " + kv.Key + " is not a valid gang record",
          "remove the key if it was not written by an entry of this version");
    }
  }
  return out;
}

} // namespace oriolebay::entry
