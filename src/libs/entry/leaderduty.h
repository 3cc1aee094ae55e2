#pragma once

#include "decisionpacer.h"
#include "endpoints/peers.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobview.h"
#include "platform/store.h"
#include "predecessors.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::entry {

/// How the leading entry keeps time.
struct DutyOptions {
  std::string LeaderKey;
  /// Where others reach this entry.
  std::string Address;
  jobs::SchedulerPolicy Policy;
  /// What a report's answer lets its agent keep tasks alive for.
  absl::Duration Grant = absl::Milliseconds(5500);
  /// For how long the leader goes on granting without the store.
  absl::Duration GrantWithoutStore = absl::Seconds(12);
  /// Unconfirmed for so long, another entry may have taken the lead.
  absl::Duration DoubtfulAfter = absl::Seconds(2);
  absl::Duration TickEvery = absl::Milliseconds(200);
  /// A quarter of the time at most goes to decisions: see DecisionPacer.
  int RestAfterDeciding = 3;
  absl::Duration WriteRetry = absl::Milliseconds(100);
  int AgentTimeoutMs = 400;
};

/// What an entry does while it leads: it feeds the scheduler, records its
/// progress and sends its orders. Lives from the election to the loss of the
/// lead; nothing of it is kept.
class LeaderDuty {
public:
  using OnDecision = std::function<void(const jobs::Decision &)>;
  using OnTrouble =
      std::function<void(platform::StoreStatus, const std::string &why)>;
  /// The store refused a write because another entry leads.
  using OnDeposed = std::function<void()>;
  /// A job has ended; it is shown once that is recorded.
  using OnEnding = std::function<void(const std::string &jobId)>;
  /// A job's progress was recorded at revision.
  using OnRecorded =
      std::function<void(const jobs::ProgressWrite &, int64_t revision)>;
  /// When the store last confirmed that this entry leads.
  using Confirmed = std::function<absl::Time()>;

  LeaderDuty(utils::EventLoop &loop, const platform::Store &store,
             const endpoints::Peers &peers, const jobs::JobView &view,
             DutyOptions options, int64_t epoch, Confirmed confirmed,
             OnDecision onDecision, OnTrouble onTrouble, OnEnding onEnding,
             OnRecorded onRecorded, OnDeposed onDeposed);
  ~LeaderDuty();
  LeaderDuty(const LeaderDuty &) = delete;
  LeaderDuty &operator=(const LeaderDuty &) = delete;

  /// Enters this entry among the leaders; entered is called once that is done,
  /// and begin() may follow.
  void enter(std::function<void()> entered);
  bool entered() const { return Entered; }
  /// The view has just been read whole: takes over all jobs and begins.
  void begin(const std::shared_ptr<const core::SiteConfig> &config);
  bool begun() const { return Begun; }

  void onConfig(const std::shared_ptr<const core::SiteConfig> &config);
  void onRecord(const jobs::StoredJob &job);
  void onRemoved(const std::string &jobId);
  /// The answer for the agent.
  endpoints::ReportAck onReport(const endpoints::WorkerReport &report);

  const jobs::JobScheduler &scheduler() const { return Scheduler; }

private:
  void pumpSoon();
  void pump();
  void decide();
  void tickLater();
  void sendOrders();
  void writeProgress();
  void write(std::vector<jobs::ProgressWrite> batch);
  void onWritten(const std::vector<jobs::ProgressWrite> &batch,
                 int64_t revision);
  void onConflict(const std::vector<jobs::ProgressWrite> &batch,
                  const std::vector<platform::KeyValue> &current);
  void settleConflict(const jobs::ProgressWrite &write,
                      const std::vector<platform::KeyValue> &current);
  void removeExpired();

  utils::EventLoop &Loop;
  const platform::Store &Calls;
  const endpoints::Peers &Peers;
  const jobs::JobView &View;
  const DutyOptions Options;
  const int64_t Epoch;
  const Confirmed LastConfirmed;
  const OnDecision Decided;
  const OnTrouble Trouble;
  const OnEnding Ending;
  const OnRecorded Recorded;
  const OnDeposed Deposed;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  jobs::JobScheduler Scheduler;
  std::unique_ptr<Predecessors> Earlier;
  bool Entered = false;
  bool Begun = false;
  bool PumpQueued = false;
  DecisionPacer Pacer{Options.RestAfterDeciding};
  bool Removing = false;
  /// After a write that failed no other is tried until then.
  absl::Time WritesHeldUntil = absl::InfinitePast();
};

} // namespace oriolebay::entry
