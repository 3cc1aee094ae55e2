#include "leaderfinder.h"

namespace oriolebay::agent {

std::string LeaderFinder::other() {
  for (size_t i = 0; i < Entries.size(); ++i) {
    const std::string &entry = Entries[Next++ % Entries.size()];
    if (entry != Target)
      return entry;
  }
  return "";
}

std::optional<std::string> LeaderFinder::secondTarget() {
  if (!Leads || !Doubtful)
    return std::nullopt;
  std::string entry = other();
  if (entry.empty())
    return std::nullopt;
  return entry;
}

void LeaderFinder::learnEntries(std::vector<std::string> entries) {
  Misses = 0;
  if (entries.empty())
    return;
  Entries = std::move(entries);
  if (!Leads)
    Target = Entries[Next++ % Entries.size()];
}

void LeaderFinder::next() {
  Leads = false;
  ++Misses;
  const std::string entry = other();
  if (!entry.empty())
    Target = entry;
}

bool LeaderFinder::onAnswer(const std::string &address,
                            const endpoints::ReportAck &ack) {
  if (!ack.Entries.empty())
    Entries = ack.Entries;
  // An entry that lost its lease while it was paused, or cut off from the
  // store, goes on as leader; the higher epoch wins.
  if (ack.Epoch > 0 && ack.Epoch >= Epoch) {
    Epoch = ack.Epoch;
    Target = address;
    Leads = true;
    Doubtful = ack.Doubtful;
    Misses = 0;
    return true;
  }
  if (ack.LeaderEpoch > Epoch ||
      (ack.LeaderEpoch == Epoch && !Leads && !ack.Leader.empty() &&
       ack.Leader != Target)) {
    Leads = false;
    ++Misses;
    Target = ack.Leader;
    return false;
  }
  if (address == Target)
    next();
  return false;
}

void LeaderFinder::onSilence(const std::string &address) {
  if (address == Target)
    next();
}

} // namespace oriolebay::agent
