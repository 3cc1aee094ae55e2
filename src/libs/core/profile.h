#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolebay::core {

/// The accelerators that an organisation can always reclaim, in whole members
/// of AcceleratorsPerMember on one worker: 24 accelerators at 8 per member are
/// three groups of 8 adjacent ones, each on one worker, not 24 scattered ones.
/// Zero means as many per member as the site's largest worker has.
struct Guarantee {
  std::string Organisation;
  int Accelerators = 0;
  int AcceleratorsPerMember = 0;

  auto operator<=>(const Guarantee &) const = default;
};

/// A named profile that an operator writes to the platform's key-value store.
/// Version is the store's modification revision of the profile's key. It only
/// increases, so a lower version is an older profile and is never applied.
struct Profile {
  std::string Name;
  int64_t Version = 0;
  int64_t PowerCapWatts = 0;
  std::vector<Guarantee> Guarantees;

  /// Returns the number of accelerators guaranteed to organisation, zero when
  /// it has no guarantee.
  int guaranteedAccelerators(const std::string &organisation) const;

  auto operator<=>(const Profile &) const = default;
};

} // namespace oriolebay::core
