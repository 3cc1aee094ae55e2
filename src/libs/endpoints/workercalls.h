#pragma once

#include "messages.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oriolebay::endpoints {

/// A worker's announcement of itself to the agent beside it. Sequence grows
/// with each within one life, and begins anew with the next.
struct Heartbeat {
  WorkerState Worker;
  int64_t Sequence = 0;
  int64_t ClockMs = 0;
  auto operator<=>(const Heartbeat &) const = default;
};

/// How a call to the worker ended.
enum class CallStatus {
  Ok,
  /// Nothing was done; Reason says why.
  Refused,
  /// The worker is unhealthy and did nothing.
  Busy,
  /// Another life of the worker answered.
  OtherLife,
  /// No byte of the call left: nothing was done.
  NotSent,
  /// Nothing listens at the worker's address: its process is gone.
  NotThere,
  /// No answer: it may have been done, or may yet be.
  NoAnswer,
};

enum class RefusalReason { None, Fenced, OldRun, TooLate, NoRoom, Ticket };

/// An outcome with the worker's clock, if it answered.
struct CallOutcome {
  CallStatus Status = CallStatus::NoAnswer;
  RefusalReason Reason = RefusalReason::None;
  /// Milliseconds on the worker's steady clock; zero when not told.
  int64_t ClockMs = 0;
  std::string Detail;
  /// When the life that answered was born; zero when not told.
  int64_t BornMs = 0;
};

/// UntilMs is a time on the worker's clock: what it runs ends then unless it
/// is held longer.
struct StartCall {
  WorkerLife Life;
  StartOrder Order;
  int64_t UntilMs = 0;
  int64_t Epoch = 0;
  bool FreshConnection = false;
};

struct StopCall {
  WorkerLife Life;
  StopOrder Order;
  int64_t Epoch = 0;
  bool FreshConnection = false;
};

/// UntilMs zero: only look. The answer waits up to WaitMs for an end.
struct HoldCall {
  WorkerLife Life;
  int64_t UntilMs = 0;
  int64_t Epoch = 0;
  int64_t SeenUpto = 0;
  int64_t WaitMs = 0;
};

struct HoldReply {
  CallOutcome Outcome;
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
};

/// The calls to the worker beside an agent. Every hook answers exactly once,
/// on the owner's event loop.
struct WorkerCalls {
  std::function<void(const StartCall &, std::function<void(CallOutcome)>)>
      Start;
  std::function<void(const StopCall &, std::function<void(CallOutcome)>)> Stop;
  std::function<void(const HoldCall &, std::function<void(HoldReply)>)> Hold;
};

} // namespace oriolebay::endpoints
