#include "promise.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace oriolebay::jobs {

namespace {

/// A late answer is worth something still until so many times the promise.
constexpr int64_t LateUpTo = 3;

int64_t wavesFor(int64_t need, int64_t room) {
  const int64_t share = room / WidestShareOfRoom;
  if (need <= 0 || share <= 0)
    return 1;
  return (need + share - 1) / share;
}

} // namespace

int wavesOf(const core::StepSpec &step, const core::Resources &room) {
  const core::Resources each = step.room();
  const int64_t n = step.Count;
  const int64_t waves =
      std::max({wavesFor(n * each.MilliCores, room.MilliCores),
                wavesFor(n * each.MemoryMb, room.MemoryMb),
                wavesFor(n * each.Accelerators, room.Accelerators)});
  return static_cast<int>(std::min<int64_t>(waves, n));
}

// Steps only wait for earlier ones, so that one pass from the last step to the
// first has each step's successors done before the step itself.
std::vector<absl::Duration> chainsFrom(const std::vector<core::StepSpec> &steps,
                                       const std::vector<int> &waves,
                                       const TaskTime &taskTime) {
  std::vector<absl::Duration> chains(steps.size(), absl::ZeroDuration());
  for (size_t s = steps.size(); s-- > 0;) {
    chains[s] += taskTime(steps[s]) * waves[s];
    for (int before : steps[s].After) {
      absl::Duration &rest = chains[static_cast<size_t>(before)];
      rest = std::max(rest, chains[s]);
    }
  }
  return chains;
}

Promise promiseOf(const std::vector<core::StepSpec> &steps,
                  const core::Resources &room, double stretch, int64_t targetMs,
                  const TaskTime &taskTime) {
  Promise p;
  for (const core::StepSpec &step : steps)
    p.Waves.push_back(wavesOf(step, room));
  const auto chains = chainsFrom(steps, p.Waves, taskTime);
  p.Chain = chains.empty() ? absl::ZeroDuration()
                           : *std::max_element(chains.begin(), chains.end());
  p.Within = p.Chain * stretch + absl::Milliseconds(targetMs);
  p.WorthlessAfter = p.Within * LateUpTo;
  return p;
}

std::string stepsText(const std::vector<core::StepSpec> &steps,
                      const Promise &promise) {
  std::vector<std::string> out;
  for (size_t s = 0; s < steps.size(); ++s) {
    out.push_back(absl::StrCat("waves=", promise.Waves[s]));
    if (!steps[s].After.empty())
      absl::StrAppend(&out.back(),
                      " after=", absl::StrJoin(steps[s].After, ","));
  }
  return absl::StrJoin(out, "; ");
}

} // namespace oriolebay::jobs
