#pragma once

#include "endpoints/messages.h"

#include <optional>
#include <string>
#include <vector>

namespace oriolebay::agent {

/// Finds the entry that leads from what entries answer: each knows the leader
/// that the store names. Decides only; its owner sends the reports and reads
/// the store. Nothing is kept over a restart, and all addresses may change.
class LeaderFinder {
public:
  /// Where the next report goes; empty while no entry is known.
  std::string target() const { return Target; }
  /// Another entry to report to as well: the one that leads could not confirm
  /// its lease, so another may lead by now.
  std::optional<std::string> secondTarget();
  /// The entries known may all be gone: they should be read from the store.
  bool wantsEntries() const {
    return Target.empty() || Misses >= MissesBeforeStore;
  }
  void learnEntries(std::vector<std::string> entries);

  /// The answer of the entry at address. True: it leads, with the highest
  /// epoch known so far.
  bool onAnswer(const std::string &address, const endpoints::ReportAck &ack);
  /// The entry at address did not answer.
  void onSilence(const std::string &address);

  bool knowsLeader() const { return Leads; }
  int64_t epoch() const { return Epoch; }

private:
  /// After so many answers in a row that do not lead further the store is
  /// asked.
  static constexpr int MissesBeforeStore = 3;

  void next();
  std::string other();

  std::vector<std::string> Entries;
  size_t Next = 0;
  std::string Target;
  int64_t Epoch = 0;
  bool Leads = false;
  bool Doubtful = false;
  int Misses = 0;
};

} // namespace oriolebay::agent
