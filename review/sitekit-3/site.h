#pragma once

#include "http.h"
#include "record.h"
#include "store.h"
#include "worker.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sitekit {

/// A program of the project as a process of its own.
class Process {
public:
  Process(Record &log, std::string name, std::vector<std::string> command,
          std::string outputPath);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void start();
  void signal(int number);
  /// Whether it runs; else it has ended.
  bool isRunning();
  const std::string &name() const { return Name; }
  /// The ends of the process that no signal of this test explains.
  int endsOfItsOwn() const { return OwnEnds; }

private:
  Record &Log;
  const std::string Name;
  const std::vector<std::string> Command;
  const std::string OutputPath;
  pid_t Pid = 0;
  bool EndExpected = false;
  int OwnEnds = 0;
};

struct SiteOptions {
  int Entries = 2;
  /// One for each worker beside an agent.
  std::vector<WorkerOptions> Workers;
  int Attempts = 3;
  int Guaranteed = 8;
};

/// The answer to a call of a consumer.
struct CallAnswer {
  int Status = 0;
  nlohmann::json Body;
};

/// A small deployment on loopback: entries and agents as processes, and the
/// store, the workers and the consumers in this one.
class Site {
public:
  /// Root is the repository, workDir takes settings and logs.
  Site(Record &log, const std::string &root, const std::string &workDir,
       SiteOptions options);

  /// Waits until all entries are ready and all workers have said to be. Returns
  /// false if that takes too long.
  bool awaitReady(int64_t timeoutMs);
  CallAnswer call(size_t entry, const std::string &method,
                  const std::string &id, const nlohmann::json &body = {},
                  int timeoutMs = 3000);
  CallAnswer submit(size_t entry, const std::string &id,
                    const nlohmann::json &job);
  std::string state(size_t entry, const std::string &id);
  /// Waits until the job has this state. Returns whether it has.
  bool awaitState(size_t entry, const std::string &id,
                  const std::string &wanted, int64_t timeoutMs);
  int controlPort(size_t agent) const { return ControlPorts[agent]; }
  /// Writes the operator's configuration as its next version, with this at the
  /// end of the names of its routes.
  void writeConfig(const std::string &routeSuffix = "");

  Store Platform;
  RunBook Book;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::vector<std::unique_ptr<Process>> Entries;
  std::vector<std::unique_ptr<Process>> Agents;
  const std::string Key = "d4a3hwrr6x73d3zji9n7";
  const std::string Prefix = "/jobs/";

private:
  void addEntry(int number);
  void addAgent(size_t number);
  nlohmann::json bounds() const;

  Record &Log;
  const std::string Root;
  const std::string WorkDir;
  const SiteOptions Options;
  int ConfigVersion = 0;
  std::vector<int> CallerPorts;
  std::vector<int> ReadyPorts;
  std::vector<int> ControlPorts;
};

/// What run.sh passes to the program of a case.
struct CaseArguments {
  std::string Root;
  std::string WorkDir;
  std::string RecordPath;
  /// Whether the disruption happens.
  bool Trouble = true;
};

/// Ends this process with 2, as the case cannot run, if an argument is missing.
CaseArguments parseArguments(int argc, char **argv);
/// Ends the processes of the site and this one: with 2 if the case could not
/// run, with 1 if broken says how the rule was broken, else with 0.
[[noreturn]] void endCase(Site &site, Record &log, bool hasRun,
                          const std::string &broken);

/// The runs of one task that were at work at the same time, as text; empty if
/// there were none.
std::string overlapOf(const std::vector<SeenRun> &runs);

} // namespace sitekit
