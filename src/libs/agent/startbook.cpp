#include "startbook.h"

namespace oriolebay::agent {

void StartBook::sent(const endpoints::RunId &run, absl::Time now) {
  FirstSent.emplace(run, now);
}

void StartBook::neverBegan(const endpoints::RunId &run) {
  FirstSent.erase(run);
}

void StartBook::answered(absl::Time now) {
  LastAnswer = now;
  SilentSince = absl::InfiniteFuture();
  std::erase_if(FirstSent, [now](const auto &start) {
    return now - start.second >= endpoints::CrashShowsWithin;
  });
}

void StartBook::unanswered(absl::Time now) {
  SilentSince = std::min(SilentSince, now);
}

// What was sent to a worker that had fallen silent before cannot be why.
std::vector<endpoints::RunId> StartBook::justBegun() const {
  std::vector<endpoints::RunId> runs;
  for (const auto &[run, at] : FirstSent)
    if (at <= SilentSince && LastAnswer - at < endpoints::CrashShowsWithin)
      runs.push_back(run);
  return runs;
}

} // namespace oriolebay::agent
