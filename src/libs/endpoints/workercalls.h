#pragma once

#include "messages.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oriolebay::endpoints {

/// Message by which a worker announces itself to its agent. Sequence grows with
/// each heartbeat of one incarnation, and restarts with the next incarnation.
struct Heartbeat {
  WorkerState Worker;
  int64_t Sequence = 0;
  int64_t ClockMs = 0;
  auto operator<=>(const Heartbeat &) const = default;
};

/// How a call to the worker ended.
enum class CallStatus {
  Ok,
  /// The worker refused the call and did nothing; Reason tells why.
  Refused,
  /// The worker is unhealthy and did nothing.
  Busy,
  /// Another incarnation of the worker answered.
  OtherIncarnation,
  /// No byte of the call was sent, so nothing was done.
  NotSent,
  /// Nothing listens at the worker's address. Its process has ended if this
  /// repeats; a listener may be missing for a moment. Starts and stops with
  /// this outcome were not carried out.
  NotListening,
  /// No answer: the worker may have carried out the call, or may still do so.
  NoAnswer,
};

/// Reason that a worker gives for the refusal of a call.
enum class RefusalReason {
  None,
  Fenced,
  StaleRun,
  TooLate,
  NoCapacity,
  Ticket
};

/// Outcome of a call, with the worker's clock if it answered.
struct CallOutcome {
  CallStatus Status = CallStatus::NoAnswer;
  RefusalReason Reason = RefusalReason::None;
  /// Milliseconds on the worker's steady clock; zero if unknown.
  int64_t ClockMs = 0;
  std::string Detail;
  /// Start time of the incarnation that answered; zero if unknown.
  int64_t BornMs = 0;
};

/// Starts a run. UntilMs is a time on the worker's clock: all runs of the
/// worker end then unless they are kept alive longer. FreshConnection opens a
/// new connection, because the previous one may have stopped working.
struct StartCall {
  WorkerIncarnation Incarnation;
  StartOrder Order;
  int64_t UntilMs = 0;
  int64_t Epoch = 0;
  bool FreshConnection = false;
};

/// Stops a run. FreshConnection has the same meaning as for StartCall.
struct StopCall {
  WorkerIncarnation Incarnation;
  StopOrder Order;
  int64_t Epoch = 0;
  bool FreshConnection = false;
};

/// Keeps the tasks of the worker alive until UntilMs and lists them. If UntilMs
/// is zero, the call only lists them. The worker delays the answer by up to
/// WaitMs until a run ends. It forgets the ends up to number SeenUpto.
struct KeepAliveCall {
  WorkerIncarnation Incarnation;
  int64_t UntilMs = 0;
  int64_t Epoch = 0;
  int64_t SeenUpto = 0;
  int64_t WaitMs = 0;
};

struct KeepAliveReply {
  CallOutcome Outcome;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
  /// Ended has all ends that are not acknowledged. Else later ones are listed
  /// once these are acknowledged.
  bool EndsComplete = true;
};

/// The calls from an agent to its worker. Every function reports its outcome
/// exactly once, on the owner's event loop.
struct WorkerCalls {
  std::function<void(const StartCall &, std::function<void(CallOutcome)>)>
      Start;
  std::function<void(const StopCall &, std::function<void(CallOutcome)>)> Stop;
  std::function<void(const KeepAliveCall &,
                     std::function<void(KeepAliveReply)>)>
      KeepAlive;
};

} // namespace oriolebay::endpoints
