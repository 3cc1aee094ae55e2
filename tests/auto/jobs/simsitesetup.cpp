#include "simsitesetup.h"

#include <string>

namespace oriolebay::jobs {

core::StepSpec makeStep(int count, core::Resources each, int64_t estimateMs,
                        bool gang, bool sameRack) {
  core::StepSpec s;
  s.Count = count;
  s.PerTask = each;
  s.EstimateMs = estimateMs;
  s.Gang = gang;
  s.SameRack = sameRack;
  return s;
}

core::StepSpec withCheckpoints(core::StepSpec step) {
  step.Checkpoints = true;
  return step;
}

void addRacks(SimSite &site, int racks) {
  for (int r = 0; r < racks; ++r)
    for (int w = 0; w < 3; ++w)
      site.addWorker("w" + std::to_string(r) + std::to_string(w),
                     "r" + std::to_string(r));
  site.runFor(absl::Milliseconds(600));
}

core::SiteConfig configWithGuarantee(int64_t accelerators) {
  core::SiteConfig config;
  config.Version = 1;
  core::QueueConfig queue;
  queue.Name = "q";
  queue.Service = "service";
  config.Queues.push_back(queue);
  config.Organisations.push_back({"org-a", {}, accelerators});
  return config;
}

} // namespace oriolebay::jobs
