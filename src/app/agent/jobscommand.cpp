#include "jobscommand.h"

#include "agent/workeragent.h"
#include "common/settingsprocess.h"
#include "common/signalthread.h"
#include "eventlog/eventlog.h"
#include "http/asyncclient.h"
#include "metrics/metricsserver.h"
#include "metrics/requestguards.h"
#include "settings/nodesettings.h"
#include "storeadapter.h"
#include "utils/eventloop.h"
#include "workeradapter.h"

namespace oriolebay::agent {

using eventlog::Event;
using eventlog::logEvent;

namespace {

/// Maximum number of tasks that other threads may queue: heartbeats and orders.
constexpr size_t LoopCapacity = 4096;
/// Prefix of the keys under which entries register in the store.
constexpr const char *EntryPrefix = "oriolebay/entries/";

/// An agent process from its start to its stop.
class Process {
public:
  Process(const settings::NodeSettings &settings)
      : Settings(settings), Loop(LoopCapacity),
        Peers(endpoints::makeNngPeers(Loop, "tcp://" + Settings.Peers.text(),
                                      app::logRefusedMessage)),
        Agent(Loop,
              adapter::makeStore(Loop, Client, Settings.Store.text(),
                                 app::logRefusedMessage),
              Peers,
              adapter::makeWorkerCalls(Loop, Client, Settings.Worker.text(),
                                       app::logRefusedMessage),
              Settings, EntryPrefix,
              [this](const endpoints::OrderResult &r) {
                Metrics.recordOrderOutcome(
                    endpoints::orderOutcomeName(r.Outcome));
              }),
        Heartbeats(
            Loop, Settings.Control.Host, Settings.Control.Port,
            [this](const endpoints::Heartbeat &b) {
              return Agent.onHeartbeat(b);
            },
            [this](const endpoints::WorkerIncarnation &incarnation) {
              Agent.onDeregister(incarnation);
            },
            app::logRefusedMessage, Guards.of("control")) {
    if (Settings.Metrics.Port > 0)
      MetricsHttpServer = std::make_unique<metrics::MetricsServer>(
          Loop, Metrics, [this](metrics::ProcessMetrics &m) { refresh(m); },
          Settings.Metrics.Host, Settings.Metrics.Port, Guards.of("metrics"));
  }

  void run() {
    app::logListener("peers", Peers.Address);
    app::logListener("control", Heartbeats.port());
    Loop.post([this] { Agent.start(); });
    app::SignalThread signals(
        [this] { Loop.post([this] { Agent.stop([this] { Loop.stop(); }); }); },
        [] {
          logEvent(Event::SettingsReloaded, {{"changed", false}});
        });
    Loop.run();
    logEvent(Event::ProcessStopped);
  }

private:
  // Updates the gauges before the metrics are read.
  void refresh(metrics::ProcessMetrics &m) const {
    Guards.refresh();
    const AgentStatus s = Agent.status();
    m.set("worker_reachable", "1 while the worker beside it answers.",
          s.Reachable ? 1 : 0);
    m.set("worker_draining", "1 while the worker drains.", s.Draining ? 1 : 0);
    m.set("worker_cordoned",
          "1 while the operator evacuates the worker's failure domain.",
          s.Cordoned ? 1 : 0);
    m.set("starts_refused_by_cordon",
          "Starts that were refused because of that.",
          static_cast<double>(s.StartsRefusedByCordon));
    m.set("leader_known", "1 while a leader answers.", s.KnowsLeader ? 1 : 0);
    m.set("leader_epoch", "Epoch of the leader that this process follows.",
          static_cast<double>(s.LeaderEpoch));
    m.set("tasks_running", "Tasks that the worker was last seen to run.",
          static_cast<double>(s.Running));
    m.set("ends_open", "Ends of tasks that are not recorded yet.",
          static_cast<double>(s.UnacknowledgedEnds));
    m.set("grant_left_seconds", "For how long tasks may be kept alive.",
          s.GrantLeftSeconds);
  }

  const settings::NodeSettings Settings;
  utils::EventLoop Loop;
  http::AsyncClient Client{app::logRepeatedRequest};
  metrics::ProcessMetrics Metrics;
  const metrics::RequestGuards Guards{Settings.MemoryMb, Metrics};
  const endpoints::Peers Peers;
  WorkerAgent Agent;
  adapter::HeartbeatServer Heartbeats;
  std::unique_ptr<metrics::MetricsServer> MetricsHttpServer;
};

} // namespace

int serveJobs(const std::string &path) {
  return app::runWithSettings(
      "agent", path,
      [](const settings::NodeSettings &settings) -> std::function<void()> {
        auto process = std::make_shared<Process>(settings);
        return [process] { process->run(); };
      });
}

} // namespace oriolebay::agent
