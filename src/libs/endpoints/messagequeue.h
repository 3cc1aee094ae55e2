#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::endpoints::Internal {

/// Handles the messages that a process receives. Large ones take their time to
/// read and are handled one by one: whatever else the event loop has to do in
/// the meantime, small messages included, is done between two of them. Used on
/// the loop only.
class MessageQueue {
public:
  using Task = std::function<void()>;

  explicit MessageQueue(utils::EventLoop &loop) : Loop(loop) {}
  ~MessageQueue() { *Alive = false; }
  MessageQueue(const MessageQueue &) = delete;
  MessageQueue &operator=(const MessageQueue &) = delete;

  /// Handles a message of this many bytes: a small one before this returns.
  void handle(size_t bytes, Task task);

private:
  void handleNextLater();

  utils::EventLoop &Loop;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::deque<Task> Large;
};

} // namespace oriolebay::endpoints::Internal
