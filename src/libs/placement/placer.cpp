#include "placer.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace oriolebay::placement {

namespace {

// Places members greedily on workers in the given order, several members on one
// worker if its free capacity allows.
std::optional<Assignment> fillInOrder(std::vector<FreeWorker> workers,
                                      const core::Shape &shape) {
  Assignment out;
  for (FreeWorker &w : workers) {
    while (w.FreeAccelerators >= shape.AcceleratorsPerMember &&
           static_cast<int>(out.size()) < shape.Members) {
      w.FreeAccelerators -= shape.AcceleratorsPerMember;
      out.push_back(w.Id);
    }
    if (static_cast<int>(out.size()) == shape.Members)
      return out;
  }
  return std::nullopt;
}

// The number of members that fit in the free capacity of the workers.
int capacity(const std::vector<FreeWorker> &workers, const core::Shape &shape) {
  int n = 0;
  for (const FreeWorker &w : workers)
    n += w.FreeAccelerators / shape.AcceleratorsPerMember;
  return n;
}

// Best fit within one group: uses the fullest workers that still fit first, so
// that little capacity is left over on them and empty workers stay empty.
std::optional<Assignment> bestFit(std::vector<FreeWorker> group,
                                  const core::Shape &shape) {
  std::sort(group.begin(), group.end(),
            [](const FreeWorker &a, const FreeWorker &b) {
              if (a.FreeAccelerators != b.FreeAccelerators)
                return a.FreeAccelerators < b.FreeAccelerators;
              return a.Id < b.Id;
            });
  return fillInOrder(std::move(group), shape);
}

// Chooses, among the groups that can hold the whole gang, the one with the
// least capacity left over. Ties go to the smaller key, so that results are
// reproducible.
std::optional<Assignment> tightestGroup(
    const absl::flat_hash_map<std::string, std::vector<FreeWorker>> &groups,
    const core::Shape &shape) {
  const std::vector<FreeWorker> *best = nullptr;
  const std::string *bestKey = nullptr;
  int bestSpare = 0;
  for (const auto &[key, group] : groups) {
    int spare = capacity(group, shape) - shape.Members;
    if (spare < 0)
      continue;
    if (best == nullptr || spare < bestSpare ||
        (spare == bestSpare && key < *bestKey)) {
      best = &group;
      bestKey = &key;
      bestSpare = spare;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  return bestFit(*best, shape);
}

} // namespace

std::optional<Assignment> placeFirstFit(const std::vector<FreeWorker> &workers,
                                        const core::Shape &shape) {
  if (shape.Members <= 0 || shape.AcceleratorsPerMember <= 0)
    return std::nullopt;
  return fillInOrder(workers, shape);
}

std::optional<Assignment> placePacked(const std::vector<FreeWorker> &workers,
                                      const core::Shape &shape) {
  if (shape.Members <= 0 || shape.AcceleratorsPerMember <= 0)
    return std::nullopt;
  absl::flat_hash_map<std::string, std::vector<FreeWorker>> racks;
  absl::flat_hash_map<std::string, std::vector<FreeWorker>> domains;
  for (const FreeWorker &w : workers) {
    if (w.FreeAccelerators < shape.AcceleratorsPerMember)
      continue;
    racks[w.FailureDomain + "/" + w.Rack].push_back(w);
    domains[w.FailureDomain].push_back(w);
  }
  if (auto inRack = tightestGroup(racks, shape))
    return inRack;
  if (auto inDomain = tightestGroup(domains, shape))
    return inDomain;
  return bestFit(workers, shape);
}

double fragmentation(const std::vector<FreeWorker> &workers,
                     const core::Shape &shape) {
  int free = 0;
  int usable = 0;
  for (const FreeWorker &w : workers) {
    free += w.FreeAccelerators;
    usable += (w.FreeAccelerators / shape.AcceleratorsPerMember) *
              shape.AcceleratorsPerMember;
  }
  if (free == 0)
    return 0.0;
  return 1.0 - static_cast<double>(usable) / free;
}

} // namespace oriolebay::placement
