#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace oriolebay::core {

/// The failure domains that the operator evacuates. No task starts at their
/// workers; tasks that already run there may end.
struct Cordons {
  std::set<std::string> Domains;

  bool contains(const std::string &domain) const {
    return Domains.count(domain) != 0;
  }
  /// Returns whether domains is not empty and all of them are cordoned.
  bool containsAll(const std::vector<std::string> &domains) const {
    return !domains.empty() &&
           std::all_of(domains.begin(), domains.end(),
                       [this](const std::string &d) { return contains(d); });
  }
  auto operator<=>(const Cordons &) const = default;
};

} // namespace oriolebay::core
