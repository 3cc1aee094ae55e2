#pragma once

#include <functional>
#include <thread>

namespace oriolebay::app {

/// Waits for signals on a thread of its own and hands each on. Signals must
/// have been blocked with blockStopSignals() before any thread was started.
class SignalThread {
public:
  /// onStop: SIGTERM or SIGINT; onReload: SIGHUP. Both run on this thread.
  SignalThread(std::function<void()> onStop, std::function<void()> onReload);
  ~SignalThread();
  SignalThread(const SignalThread &) = delete;
  SignalThread &operator=(const SignalThread &) = delete;

private:
  std::thread Thread;
};

} // namespace oriolebay::app
