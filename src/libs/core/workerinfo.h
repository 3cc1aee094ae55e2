#pragma once

#include <compare>
#include <string>

namespace oriolebay::core {

/// A worker as announced by its agent: its place in the topology and its
/// accelerators. Address is the agent's nng address from its settings.
struct WorkerInfo {
  std::string Id;
  std::string FailureDomain;
  std::string Rack;
  int Accelerators = 0;
  std::string Address;

  auto operator<=>(const WorkerInfo &) const = default;
};

} // namespace oriolebay::core
