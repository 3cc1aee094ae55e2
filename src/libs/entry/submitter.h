#pragma once

#include "core/answer.h"
#include "core/job.h"
#include "endpoints/channel.h"
#include "platform/leaderelection.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace oriolebay::entry {

/// Blocks the callers at this entry until they are answered, and ensures that
/// the leader has their gangs: it submits each gang to the leader, and submits
/// it again under the same gang id when another entry becomes leader.
class Submitter {
public:
  /// Passes a message to this entry's own scheduler. Returns false if its queue
  /// is full or this entry does not lead.
  using LocalSender = std::function<bool(endpoints::Message)>;

  /// Name makes gang ids unique among entries, and startTime among the
  /// incarnations of this entry. ReplyTo is the entry's own nng address.
  Submitter(const std::string &name, int64_t startTime, std::string replyTo,
            absl::Duration noLeaderTimeout, int64_t retryAfterMs,
            LocalSender localSender);

  /// Blocks the caller's thread until its gang has been answered. If no leader
  /// can have accepted the gang by the end of noLeaderTimeout, it is answered
  /// "not run". A leader's "not run" is passed on only if no other leader may
  /// have accepted the gang; else it is answered as failed.
  core::JobAnswer submit(const core::JobRequest &job);
  /// How the delivery of a message to the leader ended. NotAccepted: the leader
  /// refused the message, or it could not be sent to one. Unknown: the leader
  /// did not answer and may have accepted it.
  enum class Delivery { Accepted, NotAccepted, Unknown };

  /// Passes a cancellation to the leader.
  Delivery cancel(const endpoints::Cancel &cancel);
  /// Handles the answer of a gang, sent by the leader. Answers of gangs for
  /// which no caller waits are discarded.
  void handleAnswer(const endpoints::Answered &answered);
  /// Sets the leader to which gangs are submitted.
  void onLeadership(const platform::Leadership &leadership);
  /// The number of callers that wait.
  int waitingCount() const;
  /// Stops submitting gangs to the leader, and answers the waiting ones: "not
  /// run" if no leader can have the gang, else as failed.
  void shutDown();

private:
  struct Waiter {
    bool Answered = false;
    core::JobAnswer Answer;
  };
  Delivery sendToLeader(const endpoints::Message &message,
                        const platform::Leadership &leader);

  const std::string GangIdPrefix;
  const std::string ReplyTo;
  const absl::Duration NoLeaderTimeout;
  const int64_t RetryAfterMs;
  const LocalSender SendToOwnScheduler;
  std::atomic<uint64_t> NextGangNumber{0};
  mutable absl::Mutex Mu;
  absl::CondVar Changed;
  platform::Leadership Leader;
  std::shared_ptr<endpoints::RequestChannel> LeaderChannel;
  absl::flat_hash_map<std::string, std::shared_ptr<Waiter>> Waiters;
  bool Stopping = false;
};

} // namespace oriolebay::entry
