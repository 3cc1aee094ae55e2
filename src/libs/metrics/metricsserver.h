#pragma once

#include "http/asyncserver.h"
#include "http/requestguard.h"
#include "processmetrics.h"

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::metrics {

/// Serves the metrics of a process in text form at /metrics. Its thread sleeps
/// between requests, so that it costs nothing while nobody reads metrics.
class MetricsServer {
public:
  /// Updates the gauges; runs on the event loop before each answer.
  using Refresh = std::function<void(ProcessMetrics &)>;

  /// When the address cannot be bound, this is logged and the process continues
  /// without a metrics server: a failure of metrics must never stop the
  /// service.
  MetricsServer(utils::EventLoop &loop, ProcessMetrics &metrics,
                Refresh refresh, const std::string &host, int port,
                const http::RequestGuard &guard = {});

  /// Returns the port; zero when the server could not be started.
  int port() const { return Server ? Server->port() : 0; }

private:
  std::unique_ptr<http::AsyncServer> Server;
};

} // namespace oriolebay::metrics
