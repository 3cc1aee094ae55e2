#include "reportcontents.h"

#include <algorithm>

namespace oriolebay::agent {

using endpoints::EndedTask;
using endpoints::RunningTask;

namespace {

/// Names and numbers of a row besides its texts.
constexpr size_t RowBytes = 32;

size_t bytesOf(const RunningTask &task) {
  return RowBytes + task.Task.size() + task.Saved.size();
}

size_t bytesOf(const EndedTask &end) {
  return RowBytes + end.Task.size() + end.Saved.size();
}

} // namespace

size_t listBytes(const std::vector<RunningTask> &running,
                 const std::vector<EndedTask> &ended) {
  size_t bytes = 0;
  for (const RunningTask &task : running)
    bytes += bytesOf(task);
  for (const EndedTask &end : ended)
    bytes += bytesOf(end);
  return bytes;
}

std::vector<EndedTask> firstEndsWithin(const std::vector<EndedTask> &ended,
                                       size_t maxBytes) {
  std::vector<EndedTask> first;
  size_t bytes = 0;
  for (const EndedTask &end : ended) {
    bytes += bytesOf(end);
    if (bytes > maxBytes && !first.empty())
      break;
    first.push_back(end);
  }
  return first;
}

std::vector<RunningTask>
SavedProgressTurns::select(const std::vector<RunningTask> &running,
                           size_t maxBytes) {
  std::vector<RunningTask> selected;
  selected.reserve(running.size());
  size_t next = 0;
  for (size_t i = 0; i < running.size(); ++i) {
    const RunningTask &task = running[i];
    selected.push_back({task.Task, task.Run, "", task.Percent});
    if (task.Task == Latest.Task && task.Run == Latest.Run)
      next = i + 1;
  }
  size_t bytes = 0;
  for (size_t n = 0; n < running.size(); ++n) {
    const size_t i = (next + n) % running.size();
    const RunningTask &task = running[i];
    if (task.Saved.empty())
      continue;
    const bool isFirst = bytes == 0;
    bytes += task.Saved.size();
    if (bytes > maxBytes && !isFirst)
      break;
    selected[i].Saved = task.Saved;
    Latest = {task.Task, task.Run};
  }
  return selected;
}

absl::Duration SizePacer::pauseAfter(size_t bytes) const {
  const size_t excess = bytes - std::min(bytes, FreeBytes);
  const absl::Duration pause = absl::Seconds(
      static_cast<double>(excess) / static_cast<double>(BytesPerSecond));
  // Timers do not count parts of a nanosecond.
  return std::min(MaxPause, absl::Ceil(pause, absl::Milliseconds(1)));
}

absl::Duration SizePacer::remaining(absl::Time now) const {
  return std::max(absl::ZeroDuration(), NextDue - now);
}

} // namespace oriolebay::agent
