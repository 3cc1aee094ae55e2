#pragma once

#include "core/answer.h"
#include "core/job.h"
#include "core/jobspec.h"
#include "core/sharedtext.h"
#include "core/siteconfig.h"
#include "core/workerinfo.h"
#include "utils/error.h"
#include "workerincarnation.h"

#include <absl/time/time.h>

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

// The messages between entries and agents, and between entries. Each is sent as
// CBOR over an nng request/reply pair and answered by an Ack, ReportAck or
// ForwardedAnswer. Epoch is the fencing token of the leading entry: it grows
// with each change of leader, and receivers refuse messages with a lower epoch
// than the highest one that they know.
namespace oriolebay::endpoints {

/// A task of an agent whose end has not been reported yet.
struct TaskStatus {
  std::string Run;
  int Member = 0;
  /// Last measured draw in watts; -1 if not measured yet.
  int64_t Watts = -1;
  auto operator<=>(const TaskStatus &) const = default;
};

/// Agent to entry, with every heartbeat: announces the worker and lists its
/// tasks. A worker with Leaving set drains and must get no new tasks.
/// Incarnation is the agent's start time, so that an entry can tell a restart
/// from a heartbeat.
struct Announce {
  core::WorkerInfo Worker;
  int64_t Incarnation = 0;
  bool Leaving = false;
  /// The highest epoch that the agent had received when it listed its tasks.
  /// Since then, no task of a lower epoch can have been added.
  int64_t Epoch = 0;
  std::vector<TaskStatus> Tasks;
  auto operator<=>(const Announce &) const = default;
};

/// How a task ended. Stopped: the task ended before it was done, on request or
/// because its lease expired.
enum class TaskEnd { Done, Failed, Stopped };

/// Agent to the leading entry: a task has ended. Saved is the checkpoint that
/// the back end made when the task was stopped; empty if there is none.
struct TaskResult {
  std::string Run;
  int Member = 0;
  std::string WorkerId;
  TaskEnd End = TaskEnd::Done;
  std::string Output;
  std::string Saved;
  auto operator<=>(const TaskResult &) const = default;
};

/// Entry to agent: reserve accelerators for these members of a gang. A
/// reservation that is neither started nor released within its timeout is
/// dropped.
struct Reserve {
  int64_t Epoch = 0;
  std::string Run;
  std::vector<int> Members;
  int AcceleratorsPerMember = 0;
  int64_t ConfigVersion = 0;
  auto operator<=>(const Reserve &) const = default;
};

/// Entry to agent: start the reserved members. PowerLimitWatts is the power
/// limit of each member; Saved is the checkpoint to resume from, if any.
struct Run {
  int64_t Epoch = 0;
  std::string Run;
  std::string JobId;
  std::vector<int> Members;
  std::string Payload;
  std::string Saved;
  int64_t PowerLimitWatts = 0;
  auto operator<=>(const struct Run &) const = default;
};

/// Entry to agent: free reservations that will not be started, and refuse this
/// run from now on.
struct Release {
  int64_t Epoch = 0;
  std::string Run;
  auto operator<=>(const Release &) const = default;
};

/// Entry to agent: stop these members. The agent reports the end of each member
/// as a TaskResult, including members that never started.
struct Stop {
  int64_t Epoch = 0;
  std::string Run;
  std::vector<int> Members;
  auto operator<=>(const Stop &) const = default;
};

/// Entry to the leading entry: place this caller's gang. The answer is sent to
/// ReplyTo. A repeated message with the same GangId refers to the same gang.
struct Submit {
  std::string GangId;
  core::JobRequest Job;
  std::string ReplyTo;
  auto operator<=>(const Submit &) const = default;
};

/// Leading entry to the entry that the caller is connected to: the answer for
/// the caller.
struct Answered {
  std::string GangId;
  core::JobAnswer Answer;
  auto operator<=>(const Answered &) const = default;
};

/// Entry to the leading entry: the caller cancels its jobs with this id.
struct Cancel {
  std::string Organisation;
  std::string JobId;
  auto operator<=>(const Cancel &) const = default;
};

/// The answer to every message that has no answer type of its own, and the
/// answer to any message that is refused as a whole. If Ok is false, Detail
/// contains the reason. A leading entry answers with its Epoch, other entries
/// with zero, and both with the newest profile version that they have in force.
/// TaskLeaseMs is how long tasks may continue to run without an answer from the
/// leading entry.
struct Ack {
  bool Ok = true;
  std::string Detail;
  int64_t Epoch = 0;
  int64_t ConfigVersion = 0;
  int64_t TaskLeaseMs = 0;
  auto operator<=>(const Ack &) const = default;
};

/// One run of a task. Orders, reserved resources and ends refer to it.
struct RunId {
  std::string Task;
  int64_t Run = 0;
  auto operator<=>(const RunId &) const = default;
};

/// A running task, as its worker last listed it.
struct RunningTask {
  /// core::taskName().
  std::string Task;
  int64_t Run = 0;
  /// Checkpoint to resume from; empty if there is none.
  std::string Saved;
  /// Progress in percent; 100 for a long-running task that is operating.
  int Percent = 0;
  auto operator<=>(const RunningTask &) const = default;
};

/// How a run ended at its worker. Failed: by a failure of the task or of the
/// worker. Lapsed: it was not kept alive in time. Broken: another member of its
/// gang ended. Alone: the other members of its gang did not start.
enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

/// Returns the stable name of end, for logs.
const char *runEndName(RunEnd end);

/// A run that ended. Number is the number that the worker assigned to the end.
struct EndedTask {
  int64_t Number = 0;
  std::string Task;
  int64_t Run = 0;
  RunEnd How = RunEnd::Done;
  std::string Saved;
  auto operator<=>(const EndedTask &) const = default;
};

/// Outcome of an order. Started: the worker has the run. Refused: the worker
/// does not have the run and will not start it. Busy: the worker is unhealthy
/// and did nothing. Gone: that incarnation of the worker has ended. NoCapacity:
/// the worker has not enough free capacity. Fenced: a newer leader has given
/// orders. Unconfirmed: the worker may have the run or may still start it.
/// Absent: a stop found no such run, and the run can no longer start.
enum class OrderOutcome {
  Started,
  Refused,
  Busy,
  Gone,
  NoCapacity,
  Fenced,
  Unconfirmed,
  Absent
};

/// Returns the stable name of outcome, for logs.
const char *orderOutcomeName(OrderOutcome outcome);

/// Outcome of one order. Detail explains it for logs.
struct OrderResult {
  std::string Task;
  int64_t Run = 0;
  OrderOutcome Outcome = OrderOutcome::Unconfirmed;
  std::string Detail;
  auto operator<=>(const OrderResult &) const = default;
};

/// State of a worker, as its agent knows it.
struct WorkerState {
  WorkerIncarnation Life;
  std::string Service;
  std::string FailureDomain;
  std::string Rack;
  std::vector<std::string> Labels;
  core::Resources Capacity;
  bool Draining = false;
  /// Minimum time in milliseconds until a draining worker shuts down.
  int64_t RemainingMs = 0;
  /// Remaining time in milliseconds for which the worker is slow after its
  /// start.
  int64_t ColdMs = 0;
  auto operator<=>(const WorkerState &) const = default;
};

/// Estimated speed of a worker, as a leader has learned it. Log is the
/// logarithm of the run times on this worker relative to other workers, Ends
/// the number of ends that the estimate is based on.
struct LearnedSpeed {
  double Log = 0;
  double Ends = 0;
  auto operator<=>(const LearnedSpeed &) const = default;
};

/// A run that crashes its worker does so within this time after its start. A
/// worker that still runs after this time was not crashed by the run.
constexpr absl::Duration CrashDetectionWindow = absl::Milliseconds(500);

/// Time within which a worker carries out an order that got no answer, if it
/// does so at all.
constexpr absl::Duration MaxOrderDelay = absl::Seconds(15);

/// A start that a worker may still carry out, because an attempt of its agent
/// got no answer yet. PossibleForMs: time for which this is possible.
struct OpenStart {
  std::string Task;
  int64_t Run = 0;
  int64_t PossibleForMs = 0;
  auto operator<=>(const OpenStart &) const = default;
};

/// An open start that an earlier process of the agent sent, as the leader knows
/// it. Life: the incarnation that may run it; any other one under the same id
/// must refuse it. Without a start time no incarnation may run it, unless
/// MayRun says that this one does not report its start time.
struct EarlierStart {
  OpenStart Start;
  WorkerIncarnation Life;
  bool MayRun = false;
  auto operator<=>(const EarlierStart &) const = default;
};

/// The end of a worker incarnation. Crashed: it ended without notice, and no
/// shutdown was planned. JustBegun: the runs that may have crashed it, because
/// they started, or may have started, less than CrashDetectionWindow before it
/// stopped answering.
/// Witnessed: the agent served that incarnation and knows which orders it sent;
/// else the agent has only learned that the incarnation has ended.
/// MayStillBegin: starts that the next incarnation under the same id may still
/// carry out, because this incarnation never listed them or an attempt got no
/// answer.
struct IncarnationEnd {
  WorkerIncarnation Life;
  bool Crashed = false;
  std::vector<RunId> JustBegun = {};
  bool Witnessed = false;
  std::vector<RunId> MayStillBegin = {};
  auto operator<=>(const IncarnationEnd &) const = default;
};

/// Agent to the leading entry, periodically and immediately after changes: the
/// worker, its running tasks, and its ended tasks that are not acknowledged. If
/// Life is empty, the agent has not received a heartbeat of its worker yet;
/// this does not imply that the worker runs no tasks. EndedLives: the latest
/// incarnations of its workers that have ended.
struct WorkerReport {
  std::string Agent;
  std::string AgentAddress;
  WorkerState Worker;
  std::vector<IncarnationEnd> EndedLives;
  /// Grows with each report of this incarnation, also across restarts of the
  /// agent.
  int64_t Sequence = 0;
  /// Whether the worker answers its agent. While it does not, the leader
  /// extends no grant.
  bool Reachable = true;
  /// The highest epoch that the worker had received when it listed its tasks.
  /// Orders of a lower epoch can no longer take effect.
  int64_t Epoch = 0;
  /// Age of the list of running tasks in milliseconds.
  int64_t ListedMsAgo = 0;
  /// Speed of the worker as the last leader reported it. The agents keep it so
  /// that it survives a change of leader.
  LearnedSpeed Speed;
  /// The same, learned from gangs too.
  LearnedSpeed SpeedWithGangs;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
  std::vector<OrderResult> Results;
  /// Starts that this incarnation, or a later one under its id, may still carry
  /// out.
  std::vector<OpenStart> OpenStarts;
  /// Time for which this agent process has tracked the starts that it sent, at
  /// most MaxOrderDelay. An earlier process may have sent others before.
  int64_t StartsKnownForMs = 0;
  /// The worker's last heartbeat is so old that its state, and so its capacity,
  /// may be outdated. The worker gets no new tasks then.
  bool StateOutdated = false;
  /// The worker has no ends beside Ended. Else a run that it does not list may
  /// have ended. Agents of earlier versions do not say it.
  bool EndsComplete = true;
  /// The agent can read orders that contain each payload once. Not set by
  /// agents of earlier versions.
  bool ReadsSharedPayloads = false;
  auto operator<=>(const WorkerReport &) const = default;
};

/// The answer to a WorkerReport. Epoch is zero if the entry does not lead.
/// Leader and LeaderEpoch name the leader that the entry knows, Entries the
/// addresses of some entries. Doubtful: the entry leads, but the store has not
/// confirmed its lease for longer than the lease time. GrantMs: time for which
/// the agent may keep the worker's tasks alive, counted from when it sent the
/// report; zero does not extend the last grant. SeenUpto: ends of this
/// incarnation up to this number are recorded. Cordoned: the operator evacuates
/// the failure domain of the worker, according to a view that is CordonAgeMs
/// old; a negative age means that the entry has no view. EarlierStarts: for an
/// agent that has not tracked its starts for MaxOrderDelay yet.
struct ReportAck {
  int64_t Epoch = 0;
  bool Doubtful = false;
  std::string Leader;
  int64_t LeaderEpoch = 0;
  std::vector<std::string> Entries;
  int64_t GrantMs = 0;
  int64_t SeenUpto = 0;
  LearnedSpeed Speed;
  LearnedSpeed SpeedWithGangs;
  bool Cordoned = false;
  int64_t CordonAgeMs = -1;
  std::vector<EarlierStart> EarlierStarts;
  auto operator<=>(const ReportAck &) const = default;
};

/// Leading entry to agent: start this run. DecidedOn is the worker's capacity
/// that the leader's decision was based on. An agent that knows of a smaller
/// capacity refuses the start.
struct StartOrder {
  std::string Task;
  int64_t Run = 0;
  /// The starts of one job share it.
  core::SharedText Payload;
  std::string Saved;
  std::string Ticket;
  core::Resources DecidedOn = {};
  auto operator<=>(const StartOrder &) const = default;
};

/// Leading entry to agent: stop this run.
struct StopOrder {
  std::string Task;
  int64_t Run = 0;
  auto operator<=>(const StopOrder &) const = default;
};

/// Leading entry to agent: orders for one incarnation of its worker. The agent
/// acknowledges them immediately and sends the outcome of each in a report.
/// LastReport is the number of the agent's latest report when the orders were
/// given. A leader of an earlier version does not send it. PayloadsShared: the
/// message contains each payload once, however many starts have it.
struct WorkerOrders {
  int64_t Epoch = 0;
  WorkerIncarnation Life;
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  int64_t LastReport = std::numeric_limits<int64_t>::max();
  bool PayloadsShared = false;
  auto operator<=>(const WorkerOrders &) const = default;
};

/// Entry to the leading entry: a job's record was written. It is sent in
/// addition to the store's watch, because the watch may stop delivering events.
struct JobWritten {
  std::string Key;
  std::string Value;
  int64_t Revision = 0;
  auto operator<=>(const JobWritten &) const = default;
};

/// Entry to entry: a caller's call that the sender cannot serve because the
/// store does not answer the sender. Call is submit, state, cancel or queue.
/// Record is the job in the form of a stored record, with submit only.
struct ForwardedCall {
  std::string Call;
  std::string Host;
  std::string Path;
  std::string Key;
  int64_t TimeLeftMs = 0;
  std::string Job;
  std::string Record;
  /// Store revision of the oldest configuration by which the call may be
  /// decided.
  int64_t OldestRevision = 0;
  /// Maximum time since the store has confirmed that configuration, in
  /// milliseconds; zero if only the receiver's own limit applies.
  int64_t MaxConfigAgeMs = 0;
  /// Writes that the sender has sent for the call and that may be stored: the
  /// newest revision of the configuration that they depend on, zero if there
  /// are none, and the organisations as whose job they store it.
  int64_t OpenRevision = 0;
  std::vector<std::string> OpenOrganisations = {};
  /// The newest configuration that has allowed the call at the sender; zeros if
  /// none has. Not set by entries of earlier versions.
  core::ConfigStamp AllowedBy = {};
  auto operator<=>(const ForwardedCall &) const = default;
};

/// The answer to a ForwardedCall, for its caller.
struct ForwardedAnswer {
  std::string Result;
  std::string Detail;
  int64_t RetryAfterMs = 0;
  std::string State;
  int Waiting = 0;
  /// The configuration by which the call was decided.
  core::ConfigStamp DecidedBy;
  /// The address of the entry that answers.
  std::string Entry;
  /// No write of the call can be carried out any more without the answer
  /// telling of it, those that the call named included. Not set by entries of
  /// earlier versions.
  bool Settled = false;
  /// The newest configuration that the sender knew to exist when it answered.
  /// What it tells may come from that one. Not set by entries of earlier
  /// versions.
  core::ConfigStamp NewestKnown = {};
  auto operator<=>(const ForwardedAnswer &) const = default;
};

/// A new leader to a previous one: step down, that is, send no more grants and
/// orders. Acknowledged as soon as the receiver has stopped both, also by a
/// process that never led.
struct StandDown {
  int64_t Epoch = 0;
  auto operator<=>(const StandDown &) const = default;
};

using Message =
    std::variant<Announce, TaskResult, Reserve, Run, Release, Stop, Submit,
                 Answered, Cancel, Ack, WorkerReport, ReportAck, WorkerOrders,
                 JobWritten, StandDown, ForwardedCall, ForwardedAnswer>;

/// Maximum size of an encoded message; larger ones end their connection. Orders
/// to start all tasks of the largest job on one worker take half of it.
constexpr size_t MaxMessageBytes = size_t{32} << 20;

/// Returns the stable name of the message's kind.
const char *messageName(const Message &message);

/// Returns message as CBOR bytes.
std::string encode(const Message &message);
/// Returns the message in bytes. Fails with ErrorKind::BadMessage if they do
/// not contain a valid message.
utils::Result<Message> decode(const std::string &bytes);

} // namespace oriolebay::endpoints
