#include "socketcloser.h"

#include "eventlog/eventlog.h"

#include <absl/time/time.h>

#include <optional>
#include <utility>

namespace oriolebay::endpoints::Internal {

SocketCloser::SocketCloser(Close close, OnBacklog onBacklog)
    : CloseSocket(std::move(close)), ReportBacklog(std::move(onBacklog)),
      Thread([this] { run(); }) {}

SocketCloser::~SocketCloser() {
  Waiting.close();
  Thread.join();
}

void SocketCloser::close(nng_socket socket) {
  if (!Waiting.tryPush(socket))
    return;
  const size_t n = Waiting.size();
  if (n == ReportedBacklog || n == MaxWaiting)
    ReportBacklog(n);
}

void SocketCloser::run() {
  while (const std::optional<nng_socket> socket =
             Waiting.pop(absl::InfiniteDuration()))
    CloseSocket(*socket);
}

void closeInBackground(nng_socket socket) {
  static SocketCloser *const closer =
      new SocketCloser([](nng_socket s) { nng_close(s); },
                       [](size_t waiting) {
                         eventlog::logEvent(eventlog::Event::SocketsNotClosed,
                                            {{"waiting", waiting}});
                       });
  closer->close(socket);
}

} // namespace oriolebay::endpoints::Internal
