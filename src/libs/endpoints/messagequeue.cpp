#include "messagequeue.h"

#include "utils/eventloop.h"

#include <utility>

namespace oriolebay::endpoints::Internal {

namespace {

/// Messages above this size are large. Those of ordinary work are smaller.
constexpr size_t LargeMessageBytes = size_t{16} * 1024;

} // namespace

void MessageQueue::handle(size_t bytes, Task task) {
  if (bytes <= LargeMessageBytes) {
    task();
    return;
  }
  Large.push_back(std::move(task));
  if (Large.size() == 1)
    handleNextLater();
}

void MessageQueue::handleNextLater() {
  Loop.post([this, alive = Alive] {
    if (!*alive)
      return;
    const Task task = std::move(Large.front());
    Large.pop_front();
    task();
    if (*alive && !Large.empty())
      handleNextLater();
  });
}

} // namespace oriolebay::endpoints::Internal
