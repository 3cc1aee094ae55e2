#pragma once

#include "crowd.h"
#include "jobssite.h"
#include "memorywatch.h"

#include <memory>
#include <string>
#include <vector>

namespace oriolebay::testing_system {

/// An address at which a process serves requests.
enum class Door { Callers, Ready, Control, Metrics };

/// Returns the id of a job of a crowd.
std::string jobId(int number);
/// Returns the beginning of a call about a job of a crowd.
std::string callHead(const std::string &method, int number,
                     const std::string &key = "key");
/// Returns the beginning of a request to a door. Where a request has no body,
/// the method alternates, as a client may send one with either.
std::string headOf(Door door, int number);

/// A site with few workers, one process of which is watched while crowds come.
class CrowdSite {
public:
  /// Waits until a job is completed. Each process is given this much memory,
  /// and each run has saved a text of this length.
  CrowdSite(int memoryMb, int entries, int workers = 1, size_t savedBytes = 0);

  JobsSite &site() { return *Site; }
  /// The process that serves the door; the first entry, if all do.
  JobsProcess &processOf(Door door);
  int portOf(Door door);

  void watch(JobsProcess &process);
  /// Waits until the crowd has sent what it can, and the watched process has
  /// taken it in.
  void awaitHeld(const Crowd &crowd) const;
  /// Whether a new job is completed at an entry before a test gives up waiting.
  bool completesJob(size_t entry);
  /// Whether an ordinary request is answered at a door before a test gives up
  /// waiting.
  bool isAnsweredAt(Door door);
  /// Expects that no job is stored which an answer has refused for good. Each
  /// client has sent that many jobs, which are numbered one after the other.
  void expectRefusedJobsNotStored(
      const std::vector<std::vector<int>> &statusesOfClients,
      int jobsPerClient);
  /// Expects that the watched process has lived all along and stayed within its
  /// memory and its descriptors, and records what it took at most.
  void expectWithinLimits();

private:
  bool isAnswered(Door door, const std::string &method, const std::string &path,
                  const std::string &body);

  const int MemoryMb;
  const int MetricsPort;
  int OrdinaryJobs = 0;
  std::unique_ptr<JobsSite> Site;
  JobsProcess *Watched = nullptr;
  pid_t PidBefore = 0;
  std::unique_ptr<MemoryWatch> Watch;
};

} // namespace oriolebay::testing_system
