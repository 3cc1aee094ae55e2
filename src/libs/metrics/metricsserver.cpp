#include "metricsserver.h"

#include "eventlog/eventlog.h"
#include "utils/eventloop.h"

#include <stdexcept>

namespace oriolebay::metrics {

namespace {

/// Maximum number of connections: enough for one collector of metrics and one
/// person who requests them manually.
constexpr int ConnectionLimit = 4;
constexpr const char *Path = "/metrics";
constexpr const char *TextFormat = "text/plain; version=0.0.4";

} // namespace

MetricsServer::MetricsServer(utils::EventLoop &loop, ProcessMetrics &metrics,
                             Refresh refresh, const std::string &host, int port,
                             const http::RequestGuard &guard) {
  http::AsyncServerOptions options;
  options.Host = host;
  options.Port = port;
  options.MaxConnections = ConnectionLimit;
  options.MaxBodyBytes = 0;
  options.Budget = guard.Budget;
  options.OnRefused = guard.OnRefused;
  auto answer = [&loop, &metrics, refresh = std::move(refresh)](
                    const http::HttpRequest &request,
                    const http::AsyncServer::Respond &respond) {
    if (request.Path != Path) {
      respond({404, "ask for /metrics\n", TextFormat});
      return;
    }
    const bool queued = loop.tryPost([&metrics, refresh, respond] {
      refresh(metrics);
      respond({200, metrics.text(), TextFormat});
    });
    if (!queued)
      respond({503, "too busy\n", TextFormat});
  };
  try {
    Server = std::make_unique<http::AsyncServer>(options, std::move(answer));
  } catch (const std::runtime_error &e) {
    eventlog::logEvent(
        eventlog::Event::MetricsUnavailable,
        {{"why", e.what()},
         {"remedy", "free the address of metrics_listen or change it"}});
  }
}

} // namespace oriolebay::metrics
