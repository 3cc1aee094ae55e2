#include "signalthread.h"

#include <csignal>

namespace oriolebay::app {

SignalThread::SignalThread(std::function<void()> onStop,
                           std::function<void()> onReload)
    : Thread([onStop = std::move(onStop), onReload = std::move(onReload)] {
        sigset_t set;
        sigemptyset(&set);
        for (int sig : {SIGTERM, SIGINT, SIGHUP, SIGUSR1})
          sigaddset(&set, sig);
        for (int sig = 0; sigwait(&set, &sig) == 0 && sig != SIGUSR1;) {
          if (sig == SIGHUP)
            onReload();
          else
            onStop();
        }
      }) {}

// SIGUSR1, which is blocked in all other threads, ends the wait.
SignalThread::~SignalThread() {
  pthread_kill(Thread.native_handle(), SIGUSR1);
  Thread.join();
}

} // namespace oriolebay::app
