#pragma once

#include "agent/workeragent.h"
#include "entry/jobentry.h"
#include "memorystore.h"
#include "memoryworker.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::cluster {

/// Entries, agents, workers and the store in one process on manual time, with
/// the product's own code in all entries and agents. Processes can be killed,
/// frozen and cut off; everything follows from the seed.
class MemoryCluster {
public:
  struct Options {
    int Entries = 3;
    int Workers = 6;
    int WorkersPerRack = 3;
    uint64_t Seed = 1;
    /// Entries from here on have a tenth of the others' processor share.
    int FirstWeakEntry = 1000;
  };
  explicit MemoryCluster(Options options);
  ~MemoryCluster();

  /// Writes a configuration with these keys (one organisation each).
  void configure(const std::vector<std::string> &keys, int64_t guaranteed = 16);

  /// The same with these organisations.
  void configureOwners(std::vector<core::OrganisationConfig> organisations);

  void runFor(absl::Duration time);
  /// Until all accepted jobs are over as their entries show it.
  bool runUntilOver(absl::Duration limit);

  // Callers.
  struct Called {
    std::string Job;
    std::string Key;
    absl::Time Sent;
    std::optional<jobs::CallAnswer> Answer;
  };
  std::shared_ptr<Called> submit(int entry, const std::string &key,
                                 core::JobSpec spec);
  std::shared_ptr<Called> cancel(int entry, const std::string &key,
                                 const std::string &job);
  std::shared_ptr<Called> state(int entry, const std::string &key,
                                const std::string &job);
  /// Asks how many jobs wait in queue.
  std::shared_ptr<Called> count(int entry, const std::string &key,
                                const std::string &queue);

  // Faults.
  void killEntry(int entry);
  void startEntry(int entry);
  bool entryUp(int entry) const { return Entries.at(entry).Process != nullptr; }
  void killAgent(int worker);
  /// Agent and worker are gone for good.
  void removeMachine(int worker);
  void startAgent(int worker);
  /// Cuts a process's messages to and from all others; the store is apart.
  void cut(const std::string &process, bool isCut);
  /// Cuts two processes off from each other for good.
  void cutPair(const std::string &a, const std::string &b) {
    CutPairs.insert({a, b});
    CutPairs.insert({b, a});
  }
  int leader() const;
  MemoryStore &store() { return Store; }
  MemoryWorker &worker(int n) { return *Workers.at(n).Machine; }
  utils::EventLoop &loop() { return Loop; }
  static std::string entryName(int n) { return "entry-" + std::to_string(n); }
  static std::string agentName(int n) { return "agent-" + std::to_string(n); }

  /// What the entries logged of callers' calls, in order.
  const std::vector<jobs::CallDecision> &decisions() const { return Decided; }
  /// What the leaders decided on the job, a line each.
  std::string storyOf(const std::string &job) const;
  /// What rules were seen broken, empty when none.
  std::vector<std::string> violations();
  const std::set<std::string> &accepted() const { return Accepted; }
  int starts() const { return All.Starts; }
  const Field &field() const { return All; }
  /// Which tasks crash each worker that starts them.
  void setCrashing(std::function<bool(const std::string &task)> crashes) {
    All.Crashes = std::move(crashes);
  }
  /// The state as the store has it.
  std::optional<jobs::JobState> stored(const std::string &job) const;

private:
  struct Entry {
    std::unique_ptr<entry::JobEntry> Process;
  };
  struct Side {
    std::unique_ptr<MemoryWorker> Machine;
    std::unique_ptr<agent::WorkerAgent> Agent;
  };

  endpoints::Peers peersOf(const std::string &process);
  settings::NodeSettings settingsOf(const std::string &name) const;
  std::shared_ptr<Called> call(const std::string &job, const std::string &key);
  jobs::CallerAccess access(const std::string &key) const;
  void beat(int worker);
  core::StepSpec stepOf(const std::string &task) const;

  utils::EventLoop Loop;
  MemoryStore Store;
  Field All;
  const Options Setup;
  int64_t Version = 0;
  std::map<std::string, endpoints::Peers::Handler> Handlers;
  /// Grows with each start of a process, so that nothing reaches an old one.
  std::map<std::string, int> Generation;
  bool reaches(const std::string &from, const std::string &to) const {
    return Cut.count(from) == 0 && Cut.count(to) == 0 &&
           CutPairs.count({from, to}) == 0;
  }

  std::set<std::string> Cut;
  std::set<std::pair<std::string, std::string>> CutPairs;
  std::map<int, Entry> Entries;
  std::map<int, Side> Workers;
  std::set<std::string> Accepted;
  std::map<std::string, core::JobSpec> Specs;
  std::vector<jobs::CallDecision> Decided;
  std::vector<std::pair<absl::Time, jobs::Decision>> LeaderDecided;
};

/// A configuration in the form that a MemoryCluster's entries read.
std::string encodeConfig(const core::SiteConfig &config);
utils::Result<core::SiteConfig> decodeConfig(const std::string &value);

} // namespace oriolebay::cluster
