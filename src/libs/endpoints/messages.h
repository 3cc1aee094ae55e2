#pragma once

#include "core/answer.h"
#include "core/job.h"
#include "core/jobspec.h"
#include "core/siteconfig.h"
#include "core/workerinfo.h"
#include "utils/error.h"
#include "workerlife.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The messages between entries and the agents beside the endpoints, and
// between entries. Each travels as CBOR over an nng request/reply pair and is
// answered by an Ack. Epoch is the fencing token of the entry that leads: it
// grows with each change of leader, and a receiver refuses a lower one.
namespace oriolebay::endpoints {

/// A task that an agent has and whose end it has not yet reported.
struct TaskStatus {
  std::string Run;
  int Member = 0;
  /// Last measured draw in watts; -1 when not measured yet.
  int64_t Watts = -1;
  auto operator<=>(const TaskStatus &) const = default;
};

/// Agent to entry, every heartbeat: this worker is here (or, with Leaving, is
/// going and must get no new work) and has these tasks. Incarnation is the
/// agent's start time, so that an entry can tell a restart from a heartbeat.
struct Announce {
  core::WorkerInfo Worker;
  int64_t Incarnation = 0;
  bool Leaving = false;
  /// The highest epoch the agent had heard when it listed its tasks: work of
  /// a lower one can no longer have been added since.
  int64_t Epoch = 0;
  std::vector<TaskStatus> Tasks;
  auto operator<=>(const Announce &) const = default;
};

/// How a task ended. Stopped: before it was done, on request or because its
/// lease lapsed.
enum class TaskEnd { Done, Failed, Stopped };

/// Agent to the leading entry: a task has ended. Saved is the back end's
/// checkpoint when it was stopped; empty when there is none.
struct TaskResult {
  std::string Run;
  int Member = 0;
  std::string WorkerId;
  TaskEnd End = TaskEnd::Done;
  std::string Output;
  std::string Saved;
  auto operator<=>(const TaskResult &) const = default;
};

/// Entry to agent: hold accelerators for these members of a gang. A
/// reservation that is neither run nor released within its timeout is dropped.
struct Reserve {
  int64_t Epoch = 0;
  std::string Run;
  std::vector<int> Members;
  int AcceleratorsPerMember = 0;
  int64_t ConfigVersion = 0;
  auto operator<=>(const Reserve &) const = default;
};

/// Entry to agent: start the reserved members. PowerLimitWatts is what each
/// member may draw; Saved is the checkpoint to resume from, if any.
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

/// Entry to agent: give back reservations that will not run, and refuse this
/// run from now on.
struct Release {
  int64_t Epoch = 0;
  std::string Run;
  auto operator<=>(const Release &) const = default;
};

/// Entry to agent: stop these members. Each member's end comes as a
/// TaskResult, also for those that never started.
struct Stop {
  int64_t Epoch = 0;
  std::string Run;
  std::vector<int> Members;
  auto operator<=>(const Stop &) const = default;
};

/// Entry to the leading entry: place this caller's gang; the answer goes to
/// ReplyTo. Sending it again with the same GangId asks for the same gang.
struct Submit {
  std::string GangId;
  core::JobRequest Job;
  std::string ReplyTo;
  auto operator<=>(const Submit &) const = default;
};

/// Leading entry to the entry that holds the caller's connection.
struct Answered {
  std::string GangId;
  core::JobAnswer Answer;
  auto operator<=>(const Answered &) const = default;
};

/// Entry to the leading entry: the caller of these jobs no longer wants them.
struct Cancel {
  std::string Organisation;
  std::string JobId;
  auto operator<=>(const Cancel &) const = default;
};

/// The answer to every message. Ok false carries the reason in Detail. An
/// entry that leads answers with its Epoch, else with zero, and always with
/// the newest profile version it has in force. TaskLeaseMs is how long tasks
/// may run on without an answer from the leading entry.
struct Ack {
  bool Ok = true;
  std::string Detail;
  int64_t Epoch = 0;
  int64_t ConfigVersion = 0;
  int64_t TaskLeaseMs = 0;
  auto operator<=>(const Ack &) const = default;
};

/// One run of a task: what orders, room and ends refer to.
struct RunId {
  std::string Task;
  int64_t Run = 0;
  auto operator<=>(const RunId &) const = default;
};

/// A task that a worker runs, as it last listed it.
struct RunningTask {
  /// core::taskName().
  std::string Task;
  int64_t Run = 0;
  /// Checkpoint to resume from; empty when there is none.
  std::string Saved;
  /// How much of its work is done; 100 for a long-running task at work.
  int Percent = 0;
  auto operator<=>(const RunningTask &) const = default;
};

/// How a run ended at its worker. Failed: by its own fault or the worker's.
/// Lapsed: nobody kept it alive. Broken: another member of its gang ended.
/// Alone: the other members of its gang did not come.
enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

/// The stable name of end, for logs.
const char *runEndName(RunEnd end);

/// A run that ended, under the number that the worker gave the end.
struct EndedTask {
  int64_t Number = 0;
  std::string Task;
  int64_t Run = 0;
  RunEnd How = RunEnd::Done;
  std::string Saved;
  auto operator<=>(const EndedTask &) const = default;
};

/// What became of an order. Started: the run is there. Refused: it is not and
/// will not come. Busy: the worker is unhealthy and did nothing. Gone: that
/// life of the worker has ended. NoRoom: the worker has no room. Fenced: a
/// newer leader has given orders. Unconfirmed: the run may be there or come.
/// Absent: a stop found nothing, and the run can no longer come.
enum class OrderOutcome {
  Started,
  Refused,
  Busy,
  Gone,
  NoRoom,
  Fenced,
  Unconfirmed,
  Absent
};

/// The stable name of outcome, for logs.
const char *orderOutcomeName(OrderOutcome outcome);

struct OrderResult {
  std::string Task;
  int64_t Run = 0;
  OrderOutcome Outcome = OrderOutcome::Unconfirmed;
  std::string Detail;
  auto operator<=>(const OrderResult &) const = default;
};

/// A worker as its agent knows it.
struct WorkerState {
  WorkerLife Life;
  std::string Service;
  std::string FailureDomain;
  std::string Rack;
  std::vector<std::string> Labels;
  core::Resources Capacity;
  bool Draining = false;
  /// While it drains: it stays at least so long.
  int64_t RemainingMs = 0;
  /// It is still slow for so long after its start.
  int64_t ColdMs = 0;
  auto operator<=>(const WorkerState &) const = default;
};

/// How fast a worker is, as a leader has learned it: Log is the logarithm of
/// the times that work takes there against other workers, Ends how many ends it
/// rests on.
struct LearnedSpeed {
  double Log = 0;
  double Ends = 0;
  auto operator<=>(const LearnedSpeed &) const = default;
};

/// A worker that lives on for so long after a start was not crashed by it.
constexpr absl::Duration CrashShowsWithin = absl::Milliseconds(500);

/// An order without an answer is carried out within so long, if ever.
constexpr absl::Duration LateOrdersWithin = absl::Seconds(15);

/// The end of a worker's life. Crashed: it ended without a word, and no end of
/// it was planned. JustBegun: the runs that may have crashed it, as they began,
/// or may have, less than CrashShowsWithin before. Witnessed: the agent served
/// that life and knows what it sent; else it has only learned that it is over.
/// MayStillBegin: starts that the next life under the same id may carry out, as
/// they were not seen there or a try of them had no answer.
struct LifeEnd {
  WorkerLife Life;
  bool Crashed = false;
  std::vector<RunId> JustBegun = {};
  bool Witnessed = false;
  std::vector<RunId> MayStillBegin = {};
  auto operator<=>(const LifeEnd &) const = default;
};

/// Agent to the leading entry, periodically and at once on news: the worker
/// and all that it runs or that ended and is not acknowledged. An empty Life:
/// this agent has not heard of its worker yet, which says nothing about what
/// runs there. EndedLives: the latest lives of its workers that are over.
struct WorkerReport {
  std::string Agent;
  std::string AgentAddress;
  WorkerState Worker;
  std::vector<LifeEnd> EndedLives;
  /// Grows with each report of this life, also when the agent restarts.
  int64_t Sequence = 0;
  /// The worker answers its agent. While it does not, nothing is granted.
  bool Reachable = true;
  /// The highest epoch that the worker had seen when it listed its tasks:
  /// orders of a lower one can no longer take effect.
  int64_t Epoch = 0;
  /// How old the list of what runs is.
  int64_t ListedMsAgo = 0;
  /// What the last leader said of the worker's speed: it outlives the leader at
  /// its agents.
  LearnedSpeed Speed;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
  std::vector<OrderResult> Results;
  auto operator<=>(const WorkerReport &) const = default;
};

/// The answer to a WorkerReport. Epoch is zero when the entry does not lead.
/// Leader and LeaderEpoch say who does, as far as it knows. Doubtful: it leads,
/// but the store has not confirmed that for longer than its lease. GrantMs: the
/// agent may keep the worker's tasks alive for so long from the moment it sent
/// the report. SeenUpto: ends up to this number of this life are recorded.
struct ReportAck {
  int64_t Epoch = 0;
  bool Doubtful = false;
  std::string Leader;
  int64_t LeaderEpoch = 0;
  std::vector<std::string> Entries;
  int64_t GrantMs = 0;
  int64_t SeenUpto = 0;
  LearnedSpeed Speed;
  auto operator<=>(const ReportAck &) const = default;
};

/// Leading entry to agent: start this run. DecidedOn: the worker's capacity as
/// the leader knew it. An agent that knows of a smaller one refuses the start.
struct StartOrder {
  std::string Task;
  int64_t Run = 0;
  std::string Payload;
  std::string Saved;
  std::string Ticket;
  core::Resources DecidedOn = {};
  auto operator<=>(const StartOrder &) const = default;
};

struct StopOrder {
  std::string Task;
  int64_t Run = 0;
  auto operator<=>(const StopOrder &) const = default;
};

/// Leading entry to agent: orders for one life of its worker. The agent says
/// at once that it has them; what became of each comes in a report.
struct WorkerOrders {
  int64_t Epoch = 0;
  WorkerLife Life;
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  auto operator<=>(const WorkerOrders &) const = default;
};

/// Entry to the leading entry: a job's record was written. It comes besides
/// the store's watch, which may be silent.
struct JobWritten {
  std::string Key;
  std::string Value;
  int64_t Revision = 0;
  auto operator<=>(const JobWritten &) const = default;
};

/// Entry to entry: a caller's call that the sender cannot serve, as the store
/// does not answer it. Call: submit, state, cancel or queue. Record: with
/// submit, the job in the form of a stored record.
struct ForwardedCall {
  std::string Call;
  std::string Host;
  std::string Path;
  std::string Key;
  int64_t TimeLeftMs = 0;
  std::string Job;
  std::string Record;
  /// The store's revision of the oldest configuration that may decide the call.
  int64_t OldestRevision = 0;
  auto operator<=>(const ForwardedCall &) const = default;
};

/// The answer to a ForwardedCall, for its caller.
struct ForwardedAnswer {
  std::string Result;
  std::string Detail;
  int64_t RetryAfterMs = 0;
  std::string State;
  int Waiting = 0;
  /// The configuration that decided it.
  core::ConfigStamp DecidedBy;
  /// The address of the entry that answers.
  std::string Entry;
  auto operator<=>(const ForwardedAnswer &) const = default;
};

/// A new leader to an earlier one: grant nothing and order nothing any more.
/// Acknowledged once that is so, also by a process that has not led at all.
struct StandDown {
  int64_t Epoch = 0;
  auto operator<=>(const StandDown &) const = default;
};

using Message =
    std::variant<Announce, TaskResult, Reserve, Run, Release, Stop, Submit,
                 Answered, Cancel, Ack, WorkerReport, ReportAck, WorkerOrders,
                 JobWritten, StandDown, ForwardedCall, ForwardedAnswer>;

/// CBOR bytes of message.
std::string encode(const Message &message);
/// The message in bytes; ErrorKind::BadMessage when they are not one.
utils::Result<Message> decode(const std::string &bytes);

} // namespace oriolebay::endpoints
