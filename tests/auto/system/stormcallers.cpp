#include "stormcallers.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <cstdio>

namespace oriolebay::testing_system {

namespace {

constexpr absl::Duration CallDeadline = absl::Seconds(2);
/// Time after the deadline after which a call counts as unanswered. It is far
/// longer than an entry takes on a busy machine.
constexpr absl::Duration CallGrace = absl::Seconds(8);
constexpr int MaxTries = 4;
constexpr int MaxRetryDelayMs = 800;
constexpr int MaxPauseMs = 150;
constexpr int MinRunTimeMs = 50;
constexpr int MaxRunTimeMs = 1500;
/// Shares in percent.
constexpr int SubmitShare = 50;
constexpr int CancelShare = 10;
constexpr int StateShare = 25;
constexpr int ChangingKeyShare = 30;
constexpr int ChangingQueueShare = 30;
/// Of tries after the answer that the job is accepted.
constexpr int LateTryShare = 10;

bool isRefusal(int status) {
  return status != 0 && status != 200 && status != 502 && status != 504;
}

std::string bodyOf(int runTimeMs) {
  const std::string ms = std::to_string(runTimeMs);
  return R"({"spec":")" + ms + R"(","steps":[{"cpu":1000,"estimateMs":)" + ms +
         "}]}";
}

} // namespace

bool SentJob::isAccepted() const {
  return std::find(Statuses.begin(), Statuses.end(), 200) != Statuses.end();
}

bool SentJob::isRefused() const {
  return !Statuses.empty() &&
         std::all_of(Statuses.begin(), Statuses.end(), isRefusal);
}

StormCaller::StormCaller(const FaultStorm &storm, size_t entries, uint64_t seed,
                         int number)
    : Storm(storm), Number(number) {
  std::seed_seq seeds{seed, uint64_t{1000} + static_cast<uint64_t>(number)};
  Random.seed(seeds);
  for (size_t n = 0; n < entries; ++n)
    Connections.push_back(std::make_unique<CallerConnection>());
}

int StormCaller::pick(int first, int last) {
  return std::uniform_int_distribution<>(first, last)(Random);
}

std::string StormCaller::nextId() {
  char id[17];
  std::snprintf(id, sizeof(id), "ca%06x%08zx", static_cast<unsigned>(Number),
                Jobs.size());
  return id;
}

void StormCaller::pause(int maxMs) {
  absl::SleepFor(absl::Milliseconds(pick(0, maxMs)));
}

void StormCaller::run(const std::atomic<bool> &isOver) {
  while (!isOver) {
    const int n = pick(1, 100);
    if (n <= SubmitShare || Jobs.empty())
      submitJob(isOver);
    else if (n <= SubmitShare + CancelShare)
      cancelJob();
    else if (n <= SubmitShare + CancelShare + StateShare)
      askState();
    else
      askQueueLength();
    pause(MaxPauseMs);
  }
}

int StormCaller::send(CallerRequest request) {
  const size_t entry =
      static_cast<size_t>(pick(0, static_cast<int>(Connections.size()) - 1));
  const int port = Storm.callerPort(entry);
  if (port == 0)
    return 0;
  const int disturbances = Storm.disturbanceCount(entry);
  const bool isPaused = Storm.isPaused(entry);
  request.Deadline = CallDeadline;
  ++Calls;
  const CallerAnswer answer =
      Connections[entry]->call(port, request, CallGrace);
  if (answer.IsTimedOut && !isPaused &&
      disturbances == Storm.disturbanceCount(entry))
    Unanswered.push_back(request.Method + " " + request.Path + " at entry " +
                         std::to_string(entry));
  return answer.Status;
}

void StormCaller::submitJob(const std::atomic<bool> &isOver) {
  SentJob job;
  job.Id = nextId();
  job.Queue =
      pick(1, 100) <= ChangingQueueShare ? FaultStorm::ChangingQueue : "q";
  job.Key = pick(1, 100) <= ChangingKeyShare ? FaultStorm::ChangingKey : "key";
  const CallerRequest request{"POST", "/" + job.Queue + "/" + job.Id, job.Key,
                              bodyOf(pick(MinRunTimeMs, MaxRunTimeMs))};
  for (int n = 0; n < MaxTries && !isOver; ++n) {
    job.Statuses.push_back(send(request));
    if (job.Statuses.back() == 200)
      break;
    pause(MaxRetryDelayMs);
  }
  if (job.isAccepted() && pick(1, 100) <= LateTryShare)
    job.Statuses.push_back(send(request));
  Jobs.push_back(std::move(job));
}

void StormCaller::cancelJob() {
  SentJob &job = Jobs[Random() % Jobs.size()];
  job.IsCancelled = true;
  send({"DELETE", "/" + job.Queue + "/" + job.Id, job.Key, ""});
}

void StormCaller::askState() {
  const SentJob &job = Jobs[Random() % Jobs.size()];
  send({"GET", "/" + job.Queue + "/" + job.Id, job.Key, ""});
}

void StormCaller::askQueueLength() { send({"GET", "/q/", "key", ""}); }

} // namespace oriolebay::testing_system
