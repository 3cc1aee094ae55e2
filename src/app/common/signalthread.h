#pragma once

#include <functional>
#include <thread>

namespace oriolebay::app {

/// Waits for signals on its own thread and passes each one to a callback. The
/// signals must have been blocked with blockStopSignals() before any thread was
/// started.
class SignalThread {
public:
  /// onStop is called for SIGTERM and SIGINT, onReload for SIGHUP. Both run on
  /// this object's thread.
  SignalThread(std::function<void()> onStop, std::function<void()> onReload);
  ~SignalThread();
  SignalThread(const SignalThread &) = delete;
  SignalThread &operator=(const SignalThread &) = delete;

private:
  std::thread Thread;
};

} // namespace oriolebay::app
