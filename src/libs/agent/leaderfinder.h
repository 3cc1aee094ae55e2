#pragma once

#include "endpoints/messages.h"

#include <optional>
#include <string>
#include <vector>

namespace oriolebay::agent {

/// Finds the leading entry from the answers of entries, each of which knows the
/// leader that the store names. This class only decides; its owner sends the
/// reports and reads the store. Nothing is kept across a restart, and all
/// addresses may change.
class LeaderFinder {
public:
  /// Address that receives the next report. Empty while no entry is known.
  std::string target() const { return Target; }
  /// Address of a second entry that receives the report. Set if the leader
  /// could not confirm its lease, because another entry may lead by then. Each
  /// call returns the next of the other entries in turn.
  std::optional<std::string> nextSecondTarget();
  /// Returns whether the owner should read the entries from the store, because
  /// none is known or all known entries may be gone.
  bool needsEntries() const {
    return Target.empty() || ConsecutiveMisses >= MissesBeforeStoreRead;
  }
  /// Sets the entries that were read from the store, and selects a target if no
  /// leader is known. An empty list leaves the entries and the target
  /// unchanged.
  void setEntries(std::vector<std::string> entries);

  /// Handles the answer of the entry at address. Returns true if that entry
  /// leads with the highest epoch known so far. Else the target becomes the
  /// leader that the answer names or, if the answer came from the target, the
  /// next known entry.
  bool onAnswer(const std::string &address, const endpoints::ReportAck &ack);
  /// Handles a report to the entry at address that got no answer.
  void onNoAnswer(const std::string &address);

  bool knowsLeader() const { return TargetLeads; }
  /// Returns the highest epoch with which an entry answered as leader.
  int64_t epoch() const { return Epoch; }

private:
  /// Number of consecutive reports that did not reach a leader before the
  /// entries are read from the store.
  static constexpr int MissesBeforeStoreRead = 3;

  /// Selects another entry as the target, as the current one does not lead.
  void selectOtherTarget();
  /// Returns the next known entry that is not the target, or an empty string.
  std::string nextOtherEntry();

  std::vector<std::string> Entries;
  size_t NextIndex = 0;
  std::string Target;
  int64_t Epoch = 0;
  /// The entry at Target leads with Epoch.
  bool TargetLeads = false;
  /// The leader could not confirm its lease with the store.
  bool LeaseUnconfirmed = false;
  int ConsecutiveMisses = 0;
};

} // namespace oriolebay::agent
