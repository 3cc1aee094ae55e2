#pragma once

#include "simsite.h"

namespace oriolebay::jobs {

/// Takes all accelerators of a worker.
inline constexpr core::Resources WholeWorker = {4000, 1000, 8};

core::StepSpec makeStep(int count, core::Resources each, int64_t estimateMs,
                        bool gang = false, bool sameRack = false);

core::StepSpec withCheckpoints(core::StepSpec step);

/// Adds racks of three workers each and waits until all workers have reported.
void addRacks(SimSite &site, int racks);

/// Returns a configuration with one queue and one organisation, which is
/// guaranteed this number of accelerators.
core::SiteConfig configWithGuarantee(int64_t accelerators);

} // namespace oriolebay::jobs
