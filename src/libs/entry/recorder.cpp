#include "recorder.h"

#include "core/codec.h"
#include "platform/leaderelection.h"
#include "utils/steadyclock.h"

#include <absl/strings/str_cat.h>

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
// After a failed call the store counts as down for this long, so that in an
// outage each caller is answered at once and not after its own timeouts.
const absl::Duration DownFor = absl::Milliseconds(500);
const absl::Duration FlushPeriod = absl::Milliseconds(100);

std::string gangKey(const scheduler::RunId &run) {
  return absl::StrCat(GangPrefix, run);
}

std::string requestKey(const core::JobRequest &job) {
  return absl::StrCat(RequestPrefix, job.Organisation, "/", job.IdempotencyKey);
}

Compare leads(int64_t epoch) {
  return {platform::LeaderKey, Compare::Field::CreateRevision, epoch};
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
    : Kv(kv), RetryAfterMs(retryAfterMs), Deliver(std::move(onOutcome)),
      Report(std::move(onError)), Requests(capacity),
      Thread([this] { work(); }) {}

Recorder::~Recorder() { stop(); }

void Recorder::stop() {
  Requests.close();
  if (!StopNow.HasBeenNotified())
    StopNow.Notify();
  if (Thread.joinable())
    Thread.join();
}

bool Recorder::start(RecordStart request) {
  return Requests.tryPush(std::move(request));
}

void Recorder::end(RecordEnd request) {
  // Dropping an end would leave a run that a later leader takes over for
  // nothing, so this waits for room; the thread takes requests all the time.
  Request item = std::move(request);
  while (!Requests.tryPush(item) && !StopNow.HasBeenNotified())
    absl::SleepFor(absl::Milliseconds(1));
}

void Recorder::work() {
  while (true) {
    std::optional<Request> request =
        Requests.pop(Ends.empty() ? absl::InfiniteDuration() : FlushPeriod);
    if (!request && StopNow.HasBeenNotified())
      break;
    if (request && std::holds_alternative<RecordStart>(*request))
      record(std::get<RecordStart>(*request));
    else if (request)
      Ends.push_back(std::get<RecordEnd>(std::move(*request)));
    // Starts go first: callers wait for them.
    if (Requests.size() == 0)
      flushEnds();
  }
  flushEnds();
}

Recorder::Written Recorder::write(const std::vector<Compare> &conditions,
                                  const std::vector<Write> &writes,
                                  std::vector<KeyValue> &current) {
  if (steadyNow() < DownUntil)
    return Written::Unknown;
  return utils::handle<Written>(
      [&]() -> utils::Result<Written> {
        BOOST_LEAF_AUTO(res, Kv.txn(conditions, writes));
        current = res.Current;
        return res.Succeeded ? Written::Yes : Written::No;
      },
      [&](const utils::Error &e) {
        Report(e);
        return Written::Unknown;
      });
}

core::JobAnswer Recorder::refusal(const RecordStart &request,
                                  const std::string &detail) const {
  return core::notRun(request.Start.Request.Job.Id,
                      NotRunReason::StoreUnavailable, detail, RetryAfterMs);
}

// Why a conditional write was refused: another entry leads, another gang has
// the idempotency key, or this one's own earlier write took effect although
// its reply was lost.
RecordOutcome Recorder::judge(const RecordStart &request,
                              const std::vector<KeyValue> &current,
                              bool &tryAgain, int64_t &revision) {
  RecordOutcome out{RecordOutcome::Kind::Deposed, request, {}, "", 0};
  const core::JobRequest &job = request.Start.Request.Job;
  bool leading = false;
  const KeyValue *prior = nullptr;
  for (const KeyValue &kv : current) {
    if (kv.Key == platform::LeaderKey)
      leading = kv.CreateRevision == request.Epoch;
    else
      prior = &kv;
  }
  if (!leading)
    return out;
  out.What = RecordOutcome::Kind::Refused;
  tryAgain = prior == nullptr;
  if (prior == nullptr) {
    revision = 0;
    return out;
  }
  const json record = json::parse(prior->Value, nullptr, false);
  const std::string holder =
      record.is_object() ? record.value("gang", std::string()) : std::string();
  if (record.is_object() && record.contains("answer")) {
    out.Answer = record["answer"].get<JobAnswer>();
    out.Answer.JobId = job.Id;
    return out;
  }
  if (holder == request.Start.Request.GangId) {
    tryAgain = true;
    revision = prior->ModRevision;
    return out;
  }
  out.What = RecordOutcome::Kind::Taken;
  out.Holder = holder;
  out.HolderRevision = prior->ModRevision;
  return out;
}

void Recorder::record(const RecordStart &request) {
  const scheduler::StartGang &start = request.Start;
  const core::JobRequest &job = start.Request.Job;
  int64_t revision = request.PriorRevision;
  const std::vector<Write> writes = [&] {
    std::vector<Write> out{{gangKey(start.Run), gangRecord(start).dump(), 0}};
    // At most once: the key is taken in the same transaction, before anything
    // is started, so a second request with it finds it taken.
    if (!job.Idempotent)
      out.push_back(
          {requestKey(job), json{{"gang", start.Request.GangId}}.dump(), 0});
    return out;
  }();
  for (int attempt = 0; attempt < WriteAttempts; ++attempt) {
    std::vector<Compare> conditions{leads(request.Epoch)};
    if (!job.Idempotent)
      conditions.push_back(
          {requestKey(job), Compare::Field::ModRevision, revision});
    std::vector<KeyValue> current;
    const Written written = write(conditions, writes, current);
    if (written == Written::Yes)
      return Deliver({RecordOutcome::Kind::Recorded, request, {}, "", 0});
    if (written == Written::Unknown)
      continue;
    bool tryAgain = false;
    RecordOutcome out = judge(request, current, tryAgain, revision);
    if (!tryAgain)
      return Deliver(std::move(out));
  }
  // A write may have taken effect although no reply came. Nothing was started,
  // so the record is taken back as soon as the store answers.
  if (steadyNow() >= DownUntil)
    DownUntil = steadyNow() + DownFor;
  Ends.push_back(RecordEnd{request.Epoch, start.Run, std::nullopt, "", {}});
  Deliver({RecordOutcome::Kind::Refused, request,
           refusal(request, "the store did not confirm the start; nothing was "
                            "started"),
           "", 0});
}

void Recorder::flushEnds() {
  while (!Ends.empty() && steadyNow() >= DownUntil) {
    const RecordEnd &end = Ends.front();
    std::vector<Write> writes{{gangKey(end.Run), std::nullopt, 0}};
    if (end.Job && end.Answer)
      writes.push_back(
          {requestKey(*end.Job),
           json{{"gang", end.GangId}, {"answer", *end.Answer}}.dump(), 0});
    std::vector<KeyValue> current;
    if (write({leads(end.Epoch)}, writes, current) == Written::Unknown) {
      DownUntil = steadyNow() + DownFor;
      return;
    }
    // Refused means that another entry leads: it has taken the run over and
    // settles it.
    Ends.pop_front();
  }
}

utils::Result<std::vector<scheduler::AdoptedRun>> Recorder::load() {
  BOOST_LEAF_AUTO(kvs, Kv.list(GangPrefix));
  std::vector<scheduler::AdoptedRun> out;
  for (const KeyValue &kv : kvs) {
    const json r = json::parse(kv.Value, nullptr, false);
    try {
      out.push_back({r.at("run").get<std::string>(),
                     {r.at("gang").get<std::string>(),
                      r.at("job").get<core::JobRequest>()},
                     r.at("workers").get<placement::Assignment>(),
                     r.at("attempt").get<int>()});
    } catch (const json::exception &) {
      return utils::fail(utils::ErrorKind::StoreBadReply,
                         "the record " + kv.Key + " is not a gang's",
                         "remove the key if no entry of this version wrote it");
    }
  }
  return out;
}

} // namespace oriolebay::entry
