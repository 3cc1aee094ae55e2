#pragma once

#include "store.h"
#include "worker.h"

#include <cstdio>
#include <set>
#include <sys/types.h>

namespace sitekit {

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CannotRun = 2;

/// How long consumers wait for an answer.
constexpr int64_t CallerDeadlineMs = 3000;

/// Whether the case is to run without its disruption (TROUBLE=0).
bool isWithoutTrouble();

/// One process of the system, started with the command of the deploy file.
class Process {
public:
  Process(std::string program, std::string settingsPath, std::string logPath);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void start();
  void signal(int number) const;
  void kill();
  /// Whether the process still runs; if not, how() tells how it ended.
  bool isRunning();
  std::string how() const;
  pid_t pid() const { return Pid; }

private:
  const std::string Program;
  const std::string SettingsPath;
  const std::string LogPath;
  pid_t Pid = 0;
  int Status = 0;
};

struct SiteOptions {
  int Entries = 3;
  std::vector<WorkerOptions> Workers;
  /// The first manifest.
  json Manifest;
};

/// Returns count workers like those of the site stp-brno, three a rack.
std::vector<WorkerOptions> brnoWorkers(int count);

/// A small deployment: the store, workers with an agent each, and entries.
class Site {
public:
  Site(SiteOptions options, WorkerHooks hooks, const std::string &recordPath);
  ~Site();
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  /// Starts all processes and waits until the entries are ready and the
  /// workers known. Returns whether they are.
  bool start();
  /// Writes a line with the time since the start to the record.
  void record(const std::string &line);
  /// Calls an entry like a consumer with the given key, which waits for the
  /// answer until its deadline, or leaves earlier.
  void call(int entry, const std::string &method, const std::string &path,
            const json &body, const std::string &key,
            std::function<void(const Answer &)> done,
            int64_t leavesAfterMs = CallerDeadlineMs);
  /// Submits a job, again with the same id until it is accepted or rejected.
  void submit(int entry, const std::string &prefix, const std::string &id,
              const json &job, const std::string &key,
              std::function<void(int status)> done);
  /// Asks for a job's state, once. Calls done with the state or with the
  /// status in its place.
  void state(int entry, const std::string &path, const std::string &key,
             std::function<void(const std::string &)> done);
  void writeManifest(const json &manifest);

  Loop EventLoop;
  std::unique_ptr<Store> Platform;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::vector<std::unique_ptr<Process>> Entries;
  std::vector<std::unique_ptr<Process>> Agents;
  std::vector<int> CallerPorts;
  std::vector<int> ReadyPorts;
  /// Of the entries, as the store's key of the leader names them.
  std::vector<std::string> PeerAddresses;

private:
  int newPort();
  json commonSettings(const std::string &name, const std::string &zone);
  std::string writeSettings(const std::string &name, const json &settings);
  void addEntry(int number);
  void addAgent(int number);
  void askReady(int entry);

  const SiteOptions Options;
  const WorkerHooks Hooks;
  std::string Folder;
  std::FILE *Record = nullptr;
  int64_t StartedAt = 0;
  std::set<int> UsedPorts;
  std::set<int> ReadyEntries;
};

} // namespace sitekit
