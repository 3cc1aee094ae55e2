#pragma once

#include "memorycluster.h"

#include <gtest/gtest.h>

#include <memory>

namespace oriolebay::cluster {

/// Returns a cluster that is configured, has elected a leader and knows all its
/// workers.
std::unique_ptr<MemoryCluster>
servingCluster(MemoryCluster::Options options = {});

/// Names the first violation if there is any.
testing::AssertionResult hasNoViolations(MemoryCluster &cluster);

} // namespace oriolebay::cluster
