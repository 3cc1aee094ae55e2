#include "servingcluster.h"

namespace oriolebay::cluster {

std::unique_ptr<MemoryCluster> servingCluster(MemoryCluster::Options options) {
  auto cluster = std::make_unique<MemoryCluster>(options);
  cluster->configure({"k1", "k2"});
  cluster->runFor(absl::Seconds(4));
  return cluster;
}

testing::AssertionResult hasNoViolations(MemoryCluster &cluster) {
  const std::vector<std::string> foundViolations = cluster.violations();
  if (foundViolations.empty())
    return testing::AssertionSuccess();
  return testing::AssertionFailure()
         << foundViolations.size()
         << " violations, first: " << foundViolations.front();
}

} // namespace oriolebay::cluster
