#include "placement/placer.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

using namespace oriolebay;
using placement::FreeWorker;

namespace {

// Checks the invariants of every placement: it covers all members of the gang,
// and no worker is assigned more accelerators than it has free.
void expectValid(const std::vector<FreeWorker> &workers,
                 const core::Shape &shape,
                 const std::optional<placement::Assignment> &assignment) {
  if (!assignment)
    return;
  ASSERT_EQ(static_cast<int>(assignment->size()), shape.Members);
  std::map<std::string, int> used;
  for (const std::string &w : *assignment)
    used[w] += shape.AcceleratorsPerMember;
  for (const FreeWorker &w : workers)
    EXPECT_LE(used[w.Id], w.FreeAccelerators) << w.Id;
}

int membersThatFit(const std::vector<FreeWorker> &workers,
                   const core::Shape &memberShape) {
  int members = 0;
  for (const FreeWorker &w : workers)
    members += w.FreeAccelerators / memberShape.AcceleratorsPerMember;
  return members;
}

struct RandomCase {
  unsigned Seed;
  int Workers;
  int MaxMembers;
};

class PlacerDifferential : public testing::TestWithParam<RandomCase> {};

// Compares the packed placer with the first-fit baseline on random sites: both
// must keep the invariants, and both must place a gang exactly when the free
// accelerators suffice for all its members.
TEST_P(PlacerDifferential, BothPlaceValidlyExactlyWhenTheGangFits) {
  const RandomCase c = GetParam();
  std::mt19937 generator(c.Seed);
  for (int round = 0; round < 200; ++round) {
    std::vector<FreeWorker> workers;
    for (int i = 0; i < c.Workers; ++i)
      workers.push_back({"w" + std::to_string(i), "fd" + std::to_string(i % 3),
                         "r" + std::to_string(i / 3),
                         std::uniform_int_distribution<int>(0, 8)(generator)});
    core::Shape shape{
        std::uniform_int_distribution<int>(1, c.MaxMembers)(generator),
        std::uniform_int_distribution<int>(1, 8)(generator), 100};
    auto packed = placement::placePacked(workers, shape);
    auto firstFit = placement::placeFirstFit(workers, shape);
    expectValid(workers, shape, packed);
    expectValid(workers, shape, firstFit);
    const bool fits = membersThatFit(workers, shape) >= shape.Members;
    EXPECT_EQ(packed.has_value(), fits);
    EXPECT_EQ(firstFit.has_value(), fits);
  }
}

INSTANTIATE_TEST_SUITE_P(Sites, PlacerDifferential,
                         testing::Values(RandomCase{1, 3, 2},
                                         RandomCase{2, 9, 6},
                                         RandomCase{3, 30, 16},
                                         RandomCase{4, 300, 128}),
                         [](const auto &info) {
                           return "seed" + std::to_string(info.param.Seed) +
                                  "_workers" +
                                  std::to_string(info.param.Workers);
                         });

struct TopologyCase {
  const char *Name;
  std::vector<FreeWorker> Workers;
  core::Shape Shape;
  std::set<std::string> AllowedRacks;
};

class PackedTopology : public testing::TestWithParam<TopologyCase> {};

// If one rack has enough free accelerators for the whole gang, the packed
// placer must use one rack, and the one with the fewest free accelerators that
// suffice, so that emptier racks stay available to larger gangs.
TEST_P(PackedTopology, PlacesGangInTheFullestRackThatFits) {
  const TopologyCase &c = GetParam();
  auto assignment = placement::placePacked(c.Workers, c.Shape);
  ASSERT_TRUE(assignment.has_value()) << c.Name;
  std::set<std::string> racks;
  for (const std::string &w : *assignment)
    for (const FreeWorker &worker : c.Workers)
      if (worker.Id == w)
        racks.insert(worker.Rack);
  EXPECT_EQ(racks.size(), 1u) << c.Name;
  EXPECT_TRUE(c.AllowedRacks.count(*racks.begin())) << c.Name;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, PackedTopology,
    testing::Values(TopologyCase{"half-used rack before empty rack",
                                 {{"a1", "fd", "ra", 4},
                                  {"a2", "fd", "ra", 4},
                                  {"b1", "fd", "rb", 8},
                                  {"b2", "fd", "rb", 8}},
                                 {2, 4, 0},
                                 {"ra"}},
                    TopologyCase{"only one rack has enough free accelerators",
                                 {{"a1", "fd", "ra", 2},
                                  {"b1", "fd2", "rb", 8},
                                  {"b2", "fd2", "rb", 8}},
                                 {2, 8, 0},
                                 {"rb"}}),
    [](const auto &info) {
      return oriolebay::testnames::testNameFrom(info.param.Name);
    });

// Fragmentation is the share of the free accelerators that members of the given
// shape cannot use.
TEST(Fragmentation, IsTheUnusableShareOfFreeAccelerators) {
  std::vector<FreeWorker> workers = {{"a", "fd", "r", 8}, {"b", "fd", "r", 4}};
  EXPECT_DOUBLE_EQ(placement::fragmentation(workers, {1, 8, 0}), 4.0 / 12.0);
  EXPECT_DOUBLE_EQ(placement::fragmentation(workers, {1, 4, 0}), 0.0);
  EXPECT_DOUBLE_EQ(placement::fragmentation({}, {1, 4, 0}), 0.0);
}

} // namespace
