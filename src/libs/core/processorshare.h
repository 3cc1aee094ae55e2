#pragma once

namespace oriolebay::core {

/// The most processor time that a process can have, in cores.
constexpr double MaxProcessorShare = 1024;

/// Returns whether a process can have this processor time, in cores.
constexpr bool isProcessorShare(double cores) {
  return cores > 0 && cores <= MaxProcessorShare;
}

} // namespace oriolebay::core
