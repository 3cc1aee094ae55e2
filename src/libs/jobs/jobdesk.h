#pragma once

#include "callanswer.h"
#include "callcodec.h"
#include "jobview.h"
#include "operators/configfollower.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::jobs {

/// How long calls may take and how old what answers them may be.
struct DeskPolicy {
  /// A configuration view older than this serves no calls: a key may have been
  /// taken away since.
  absl::Duration OldestConfig = absl::Milliseconds(2500);
  /// The time that is left for the answer's way to the caller.
  absl::Duration AnswerMargin = absl::Milliseconds(150);
  /// Pause before a store call is made again.
  absl::Duration RetryPause = absl::Milliseconds(60);
  /// How long the store may refuse before the caller is told to come back.
  absl::Duration RefusedPatience = absl::Milliseconds(400);
  /// The same for a call that another entry has handed over, which waits for
  /// the answer.
  absl::Duration ForwardedPatience = absl::Milliseconds(250);
  /// Until it is so old a view of the configuration, which is confirmed all the
  /// time, tells that the store's watches can be relied on too. An entry that
  /// the store had stopped to serve showed jobs as running long after their
  /// end.
  absl::Duration FreshView = absl::Milliseconds(800);
  /// The share of its caller's time that a call may spend on a store that does
  /// not answer: the rest is the caller's, for another entry.
  double MostShareOfTime = 0.4;
  /// The first try is cut short: an answer that was lost shows when the same is
  /// asked again, while a store that answers is mostly much faster.
  long FirstTryMs = 300;
  long ShortestTryMs = 50;
  long LongestTryMs = 700;
  /// When to come back: as long again as the store has been away by now, within
  /// these bounds.
  int64_t RetryAfterMs = 1000;
  int64_t LongestRetryAfterMs = 3000;
  /// Callers ask as soon as a job's last task has ended, while its end is on
  /// its way into the store, and then again a quarter of a second later. A
  /// state call waits for the record of an end that the leader knows of, a few
  /// milliseconds on a store that answers, and no longer than this: short
  /// urgent jobs have not much more than that quarter second to lose.
  absl::Duration EndPatience = absl::Milliseconds(150);
  /// Callers may ask so soon after the end that its news is behind their call,
  /// on its way from the worker over its agent to the leader: two hops and
  /// three processes' turns. A state call of a running job waits for that news,
  /// which no caller notices.
  absl::Duration NewsOnItsWay = absl::Milliseconds(20);
};

/// What another entry answered, or nothing when none did; mayBeDone: it may
/// have been carried out there all the same.
using OnForwarded =
    std::function<void(const std::optional<CallAnswer> &, bool mayBeDone)>;

/// What the leader answered a state call, or nothing when it did not.
using OnLeaderAnswer =
    std::function<void(const std::optional<CallAnswer> &answer)>;

/// Serves callers at one entry: accepts jobs into the store, cancels them, and
/// tells their state. Whatever it confirms is in the store. Owned by one event
/// loop.
class JobDesk {
public:
  using Done = std::function<void(CallAnswer)>;
  /// Tells the leader of a job's key that was written.
  using OnWritten = std::function<void(const platform::KeyValue &)>;
  using OnDecision = std::function<void(const CallDecision &)>;
  /// Since when the store has not answered, in spite of calls; infinite future
  /// while it does.
  using StoreAway = std::function<absl::Time()>;
  /// Hands a call to another entry; false when there is none to ask.
  using Forward = std::function<bool(const CallRequest &, const OnForwarded &)>;
  /// Asks the leader for a job's state; false at the leader itself and where
  /// none is known.
  using AskLeader =
      std::function<bool(const CallRequest &, const OnLeaderAnswer &)>;

  JobDesk(utils::EventLoop &loop, const platform::Store &store, JobView &view,
          operators::ConfigFollower &config, DeskPolicy policy,
          StoreAway storeAway, Forward forward, AskLeader askLeader,
          OnWritten onWritten, OnDecision onDecision);
  ~JobDesk();
  JobDesk(const JobDesk &) = delete;
  JobDesk &operator=(const JobDesk &) = delete;

  /// Accepts spec under its id; organisation and queue are set from access.
  void submit(CallerAccess access, core::JobSpec spec, Done done);
  void state(CallerAccess access, std::string jobId, Done done);
  void cancel(CallerAccess access, std::string jobId, Done done);
  /// A call that another entry could not serve. It is not handed on.
  void serveForwarded(CallRequest request, Done done);
  /// The leader knows of this job's end, which is being recorded.
  void expectEnd(const std::string &jobId);
  /// The end is recorded.
  void onEndRecorded(const std::string &jobId);
  /// The job's record is gone from the store.
  void forget(const std::string &jobId) { EndsTold.erase(jobId); }
  /// How many of the queue's jobs have not begun.
  void queueLength(CallerAccess access, Done done);

private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;
  using Step = std::function<void(const CallPtr &)>;

  static CallPtr newCall(CallRequest request, Done done);
  CallRequest requestOf(const CallPtr &call) const;
  void serve(const CallPtr &call);
  bool forward(const CallPtr &call);
  void onForwarded(const CallPtr &call, const std::optional<CallAnswer> &answer,
                   bool mayBeDone);
  bool mayPassOn(const CallPtr &call, const CallAnswer &answer) const;
  void deliver(const CallPtr &call, CallAnswer answer);
  void begin(const CallPtr &call, const Step &step);
  void authorise(const CallPtr &call, bool confirmed, const Step &step);
  void confirmFirst(const CallPtr &call, const Step &step);
  void finish(const CallPtr &call, CallResult result, std::string detail = "");
  bool outOfTime(const CallPtr &call) const;
  absl::Duration timeLeft(const CallPtr &call) const;
  long nextTryMs(const CallPtr &call) const;
  bool storeUsable() const;
  bool mayGoByConfig() const;
  bool viewIsFresh() const;
  int64_t retryAfterMs() const;
  void again(const CallPtr &call, platform::StoreStatus status,
             const Step &step);
  void admit(const CallPtr &call);
  void accept(const CallPtr &call);
  void onAccepted(const CallPtr &call,
                  const platform::StoreReply<platform::StoreTxnReply> &reply,
                  absl::Time sent, const std::string &value);
  void show(const CallPtr &call);
  /// Reads the record of the call's job into the view and goes on with next;
  /// retry where the store did not answer.
  void fetchRecord(const CallPtr &call, const Step &retry, const Step &next);
  void readProgress(const CallPtr &call);
  void countWaiting(const CallPtr &call);
  void findForCancel(const CallPtr &call);
  void writeCancel(const CallPtr &call, JobRecord record, int64_t revision);
  bool mayTouch(const CallPtr &call, const JobRecord &record) const;
  void answerState(const CallPtr &call, const StoredJob &job);
  bool askLeader(const CallPtr &call);
  void onLeaderAnswer(const CallPtr &call,
                      const std::optional<CallAnswer> &answer);
  bool waitForEnd(const CallPtr &call);
  JobState shown(const StoredJob &job) const;
  /// Another entry's answer, which may know less of the job's end than an
  /// earlier one.
  CallAnswer withEndTold(const CallPtr &call, CallAnswer answer);

  utils::EventLoop &Loop;
  const platform::Store &Calls;
  JobView &View;
  operators::ConfigFollower &Config;
  const DeskPolicy Policy;
  const StoreAway AwaySince;
  const Forward HandOver;
  const AskLeader LeadersView;
  const OnWritten Written;
  const OnDecision Decided;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  /// Ends that are being recorded, by job, and the state calls that wait for
  /// each.
  std::map<std::string, std::vector<CallPtr>> Ending;
  /// Ends that callers were shown as another entry told them, until the view
  /// here has them too.
  std::map<std::string, JobState> EndsTold;
};

} // namespace oriolebay::jobs
