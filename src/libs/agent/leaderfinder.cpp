#include "leaderfinder.h"

namespace oriolebay::agent {

std::string LeaderFinder::nextOtherEntry() {
  for (size_t i = 0; i < Entries.size(); ++i) {
    const std::string &entry = Entries[NextIndex++ % Entries.size()];
    if (entry != Target)
      return entry;
  }
  return "";
}

std::optional<std::string> LeaderFinder::nextSecondTarget() {
  if (!TargetLeads || !LeaseUnconfirmed)
    return std::nullopt;
  std::string entry = nextOtherEntry();
  if (entry.empty())
    return std::nullopt;
  return entry;
}

void LeaderFinder::setEntries(std::vector<std::string> entries) {
  ConsecutiveMisses = 0;
  if (entries.empty())
    return;
  Entries = std::move(entries);
  if (!TargetLeads)
    Target = Entries[NextIndex++ % Entries.size()];
}

void LeaderFinder::selectOtherTarget() {
  TargetLeads = false;
  ++ConsecutiveMisses;
  const std::string entry = nextOtherEntry();
  if (!entry.empty())
    Target = entry;
}

bool LeaderFinder::onAnswer(const std::string &address,
                            const endpoints::ReportAck &ack) {
  if (!ack.Entries.empty())
    Entries = ack.Entries;
  // An entry that lost its lease while it was paused or disconnected from the
  // store still acts as leader. The highest epoch wins.
  if (ack.Epoch > 0 && ack.Epoch >= Epoch) {
    Epoch = ack.Epoch;
    Target = address;
    TargetLeads = true;
    LeaseUnconfirmed = ack.Doubtful;
    ConsecutiveMisses = 0;
    return true;
  }
  if (ack.LeaderEpoch > Epoch ||
      (ack.LeaderEpoch == Epoch && !TargetLeads && !ack.Leader.empty() &&
       ack.Leader != Target)) {
    TargetLeads = false;
    ++ConsecutiveMisses;
    Target = ack.Leader;
    return false;
  }
  if (address == Target)
    selectOtherTarget();
  return false;
}

void LeaderFinder::onNoAnswer(const std::string &address) {
  if (address == Target)
    selectOtherTarget();
}

} // namespace oriolebay::agent
