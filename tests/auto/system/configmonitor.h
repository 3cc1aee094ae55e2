#pragma once

#include <string>
#include <vector>

namespace oriolebay::testing_system {

/// What the logs of entries tell about the configurations behind their answers
/// and starts.
struct ConfigHistory {
  /// Descriptions of answers that were decided by an older configuration than
  /// an entry of this name had shown before the call was received. An entry
  /// that was started again counts as the same one.
  std::vector<std::string> Violations;
  int Answers = 0;
  int Starts = 0;
};

/// Reads the logs of all starts of an entry and adds what they tell to history.
void addConfigHistory(const std::vector<std::string> &logPaths,
                      ConfigHistory &history);

} // namespace oriolebay::testing_system
