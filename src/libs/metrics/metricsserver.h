#pragma once

#include "http/asyncserver.h"
#include "processmetrics.h"

#include <functional>
#include <memory>
#include <string>

namespace oriolebay::utils {
class EventLoop;
}

namespace oriolebay::metrics {

/// Serves a process's metrics as text at /metrics. Its thread sleeps until
/// somebody asks, so that it costs nothing while nobody does.
class MetricsServer {
public:
  /// Brings the gauges up to date; runs on the event loop before each answer.
  using Refresh = std::function<void(ProcessMetrics &)>;

  /// When the address cannot be had that is logged, and the process goes on
  /// without: metrics never stop service.
  MetricsServer(utils::EventLoop &loop, ProcessMetrics &metrics,
                Refresh refresh, const std::string &host, int port);

  /// Zero when it does not serve.
  int port() const { return Server ? Server->port() : 0; }

private:
  std::unique_ptr<http::AsyncServer> Server;
};

} // namespace oriolebay::metrics
