#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sitekit {

/// One run of a task at one worker, as the worker saw it.
struct SeenRun {
  std::string Task;
  int64_t Run = 0;
  std::string Worker;
  std::string Spec;
  std::string Saved;
  int64_t BeganAt = 0;
  /// Zero while it runs.
  int64_t EndedAt = 0;
  std::string How;
};

/// What all workers have run, in the order of the starts.
class RunBook {
public:
  size_t begin(SeenRun run);
  void end(size_t index, const std::string &how);
  std::vector<SeenRun> runs();

private:
  std::mutex Mu;
  std::vector<SeenRun> All;
};

struct WorkerOptions {
  std::string Name;
  std::string Service = "svc";
  std::string Zone = "zone-a";
  /// The kind, the rack, and others.
  std::vector<std::string> Labels = {"a", "r1"};
  int64_t Cpu = 32000;
  int64_t MemMb = 65536;
  int64_t Gpu = 8;
  int64_t HeartbeatMs = 1500;
  int64_t HoldMaxMs = 6000;
  /// How long a stop takes, within the bound stopGraceMs.
  int64_t StopMs = 100;
  int64_t CheckpointMs = 1000;
  int64_t RestoreMs = 200;
  /// The worker keeps its id when it starts again, and says when it was born.
  bool KeepsId = false;
};

/// A worker of the platform, as PROTOCOL.md describes it. A task runs for the
/// milliseconds that its spec gives as "ms=N", or until it is stopped. It saves
/// its progress if its spec says "saves", and takes longer away from the rack
/// that its spec gives as "rack=R". The worker is up from its construction
/// until it crashes or leaves, and again after start().
class Worker {
public:
  Worker(Record &log, RunBook &book, WorkerOptions options);

  int port() const { return Port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }
  std::string id();
  /// Sends heartbeats to this port from now on.
  void setControlPort(int port);
  /// Begins another lifetime.
  void start();
  /// Says that it drains, serves on for at least drainMs after that was
  /// confirmed, deregisters and ends. Without a confirmation it ends
  /// unconfirmedMs later.
  void leave(int64_t drainMs, int64_t unconfirmedMs);
  bool isDrainConfirmed();
  size_t runningCount();

private:
  struct Work {
    int64_t Run = 0;
    int64_t BeganAt = 0;
    int64_t WorkMs = 0;
    int64_t DoneMs = 0;
    int64_t StopsAt = 0;
    std::string Saved;
    bool SavesProgress = false;
    size_t BookIndex = 0;
  };
  struct Life {
    std::string Id;
    int64_t BornMs = 0;
    int64_t BornAt = 0;
    int64_t ClockBase = 0;
    int64_t Sequence = 0;
    int64_t Token = 0;
    int64_t LeaseUntil = 0;
    int64_t LastEnd = 0;
    bool Draining = false;
    bool DrainConfirmed = false;
    bool Deregistered = false;
    int64_t DrainEndsAt = 0;
    std::map<std::string, Work> Running;
    std::map<std::string, int64_t> LastRuns;
    std::map<int64_t, nlohmann::json> Ended;
  };

  Response serve(const Request &request);
  Response apply(const std::string &path, const nlohmann::json &body);
  Response runStart(const nlohmann::json &body);
  Response runStop(const nlohmann::json &body);
  nlohmann::json clockLocked() const;
  nlohmann::json listsLocked() const;
  int64_t clockMsLocked() const { return nowMs() - Now.BornAt + Now.ClockBase; }
  void extendLocked(const nlohmann::json &body);
  void endLocked(const std::string &task, const std::string &how);
  void advance();
  std::string progressLocked(const std::string &task, Work &work) const;
  nlohmann::json heartbeatLocked();
  void sendHeartbeats(uint64_t life);
  void beginLocked();
  void finishLocked(const std::string &why);
  Response refusal(const char *reason) const;

  Record &Log;
  RunBook &Book;
  const WorkerOptions Options;
  std::mutex Mu;
  std::condition_variable Changed;
  int Port = 0;
  int ControlPort = 0;
  uint64_t LifeNumber = 0;
  bool Up = false;
  Life Now;
  std::vector<std::unique_ptr<HttpServer>> Servers;
};

} // namespace sitekit
