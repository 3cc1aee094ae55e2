#pragma once

#include "core/shape.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oriolebay::placement {

/// The free capacity of a worker, as offered to a placer. Workers that drain or
/// are lost are not offered.
struct FreeWorker {
  std::string Id;
  std::string FailureDomain;
  std::string Rack;
  int FreeAccelerators = 0;
  auto operator<=>(const FreeWorker &) const = default;
};

/// The worker of each gang member, indexed by member number.
using Assignment = std::vector<std::string>;

/// Chooses a worker for every member of a gang, or returns nothing if the whole
/// gang cannot be placed now. A placer never places part of a gang.
using Placer = std::function<std::optional<Assignment>(
    const std::vector<FreeWorker> &, const core::Shape &)>;

/// Places the gang by first fit, in the given order of workers. Serves as the
/// baseline with which placePacked() is compared.
std::optional<Assignment> placeFirstFit(const std::vector<FreeWorker> &workers,
                                        const core::Shape &shape);

/// Keeps the members of a gang close together and large blocks of accelerators
/// free: places the whole gang in one rack if possible, else in one failure
/// domain, else anywhere. Within that group the fullest workers that still fit
/// are used first (best fit), so that empty workers stay available for large
/// gangs.
std::optional<Assignment> placePacked(const std::vector<FreeWorker> &workers,
                                      const core::Shape &shape);

/// The share of free accelerators that cannot be used by a gang member of the
/// given shape, from 0 (all usable) to 1. Returns 0 if no accelerator is free.
double fragmentation(const std::vector<FreeWorker> &workers,
                     const core::Shape &shape);

} // namespace oriolebay::placement
