#pragma once

#include <vector>

namespace oriolebay::eventlog {

/// All numbered events. docs/EVENTS.md describes each one. A number is never
/// reused for another meaning.
enum class Event : int {
  ProcessStarted = 100,
  ProcessStopping = 101,
  ProcessStopped = 102,
  SettingsRejected = 103,
  ListenerBound = 104,
  SettingsReloaded = 105,
  LogLinesLeftOut = 106,
  MetricsUnavailable = 107,
  ProcessFailed = 108,
  MessageRefused = 109,
  RequestRepeated = 110,
  SocketsNotClosed = 111,
  RequestRefused = 112,

  JobReceived = 200,
  JobPlaced = 201,
  JobRefused = 202,
  JobFinished = 203,
  JobDuplicate = 204,
  GangAborted = 205,
  GangStopping = 206,
  GangRequeued = 207,
  GangAdopted = 208,
  CallAnswered = 210,
  LastingJobEnded = 211,
  StepWaiting = 212,
  JobPromised = 213,
  RoomPlanned = 214,
  StepWaitsBesideFreeWorkers = 215,
  StepPreferencesGivenUp = 216,
  CallUnanswered = 217,
  CallRefusalWithheld = 218,
  SavesOmitted = 219,
  FailuresDismissed = 220,
  StallTimeoutRaised = 221,
  EstimateDismissed = 222,

  WorkerJoined = 300,
  WorkerLeaving = 301,
  WorkerLost = 302,
  WorkerHeartbeatFailed = 303,
  WorkerKeptOut = 305,
  WorkerLifeBegan = 306,
  WorkerLifeEnded = 307,
  WorkerDraining = 308,
  WorkerUnreachable = 309,
  WorkerReachable = 310,
  WorkerCapacityChanged = 311,
  WorkerHeartbeatIgnored = 312,
  WorkerUsedAgain = 313,
  WorkerSpeedLearned = 314,
  WorkerSpeedIgnored = 315,

  TaskReserved = 400,
  TaskStarted = 401,
  TaskFinished = 402,
  TaskReleased = 403,
  TaskDuplicateRefused = 404,
  TaskStopAsked = 405,
  RunPlaced = 410,
  RunStarted = 411,
  RunRefused = 412,
  RunStopping = 413,
  RunEnded = 414,
  RunSettled = 415,
  RunStandsStill = 416,
  RunEvacuated = 417,
  RunCrashedWorker = 418,
  SuspectCleared = 419,
  OrderReceived = 420,
  OrderCarriedOut = 421,
  GrantEnded = 422,
  OrderUnanswered = 423,
  RunStartBarred = 424,
  RunUnexpected = 425,
  OrderDeferred = 426,
  OrderDeferralEnded = 427,
  OrderRepeated = 428,

  ProfileAccepted = 500,
  ProfileRefusedStale = 501,
  ProfileWritten = 502,
  ProfileConflict = 503,
  StoreCallFailed = 504,
  ProfileInForce = 505,
  StoreLost = 506,
  StoreRegained = 507,
  ConfigAccepted = 508,
  ConfigRefused = 509,
  RecordRefused = 510,
  ConfigOutdated = 511,
  DomainCordoned = 512,
  DomainCordonLifted = 513,
  CordonInForce = 514,
  CordonOver = 515,

  LeaderElected = 600,
  LeaderLost = 601,
  LeaderFollowed = 602,
  LeaderUnreachable = 603,
  SilentAgentsRecorded = 604,
};

struct EventInfo {
  Event Number;
  /// Stable dotted name that is printed with the number.
  const char *Name;
};

/// Returns all events.
const std::vector<EventInfo> &allEvents();

/// Returns the stable dotted name of event, which is printed with its number.
const char *eventName(Event event);

} // namespace oriolebay::eventlog
