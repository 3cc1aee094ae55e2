#include "jobscommand.h"

#include "calleradapter.h"
#include "common/settingsprocess.h"
#include "common/signalthread.h"
#include "configadapter.h"
#include "entry/jobentry.h"
#include "eventlog/eventlog.h"
#include "http/asyncclient.h"
#include "metrics/metricsserver.h"
#include "metrics/requestguards.h"
#include "settings/nodesettings.h"
#include "storeadapter.h"
#include "utils/boottime.h"
#include "utils/eventloop.h"

namespace oriolebay::entry {

using eventlog::Event;
using eventlog::logEvent;

namespace {

/// Maximum number of tasks that other threads may queue: a few for each
/// connection.
constexpr size_t LoopCapacity = 8192;
/// Time that the load balancer needs to notice a stopping process: it checks
/// readiness twice, a second apart, before it stops sending new connections
/// here. Callers on open connections continue until then.
constexpr absl::Duration BalancerDetectionTime = absl::Milliseconds(2400);
constexpr absl::Duration IdleCheckInterval = absl::Milliseconds(100);

/// An entry process from its start to its stop.
class Process {
public:
  Process(const settings::NodeSettings &settings)
      : Settings(settings), Loop(LoopCapacity),
        Peers(endpoints::makeNngPeers(Loop, "tcp://" + Settings.Peers.text(),
                                      app::logRefusedMessage)),
        Entry(Loop,
              adapter::makeStore(Loop, Client, Settings.Store.text(),
                                 app::logRefusedMessage),
              Peers, Settings,
              {adapter::ConfigKey, adapter::parseConfig, adapter::CordonPrefix},
              metricObservers()),
        Callers(Loop, Entry.jobService(), Settings.Callers.Host,
                Settings.Callers.Port, app::logRefusedMessage,
                Guards.of("callers")),
        Ready(
            Loop, [this](std::string *why) { return Entry.ready(why); },
            Settings.Ready.Host, Settings.Ready.Port, Guards.of("ready")) {
    if (Settings.Metrics.Port > 0)
      MetricsHttpServer = std::make_unique<metrics::MetricsServer>(
          Loop, Metrics, [this](metrics::ProcessMetrics &m) { refresh(m); },
          Settings.Metrics.Host, Settings.Metrics.Port, Guards.of("metrics"));
  }

  void run() {
    app::logListener("peers", Peers.Address);
    app::logListener("callers", Callers.port());
    app::logListener("ready", Ready.port());
    Loop.post([this] { Entry.start(); });
    app::SignalThread signals(
        [this] { Loop.post([this] { stop(); }); },
        [] {
          logEvent(Event::SettingsReloaded, {{"changed", false}});
        });
    Loop.run();
  }

private:
  EntryObservers metricObservers() {
    EntryObservers o;
    o.Called = [this](const jobs::CallDecision &d) {
      Metrics.recordCall(d.Call, jobs::callResultName(d.Answer.Result),
                         absl::Milliseconds(d.TookMs));
    };
    o.Decided = [this](const jobs::Decision &d) { recordDecision(d); };
    o.StoreCalled = [this](const char *call, platform::StoreStatus status,
                           absl::Duration duration) {
      Metrics.recordStoreCall(call, platform::storeStatusName(status),
                              duration);
    };
    return o;
  }

  void recordDecision(const jobs::Decision &d) {
    if (d.What == jobs::Decision::Kind::Placed)
      Metrics.recordRunPlaced(static_cast<int>(d.input("rank")),
                              absl::Milliseconds(d.input("waited_ms")));
    else if (d.What == jobs::Decision::Kind::JobEnded)
      Metrics.recordJobEnded(d.Why, static_cast<int>(d.input("priority")),
                             absl::Milliseconds(d.input("took_ms")));
    else if (d.What == jobs::Decision::Kind::WaitsBesideFreeWorkers)
      Metrics.recordLongWaits(d.input("newly"));
  }

  // Updates the gauges before the metrics are read.
  void refresh(metrics::ProcessMetrics &m) const {
    const EntryStatus s = Entry.status();
    m.set("config_version", "Version of the configuration in force here.",
          static_cast<double>(s.ConfigVersion));
    m.set("config_age_seconds",
          "Since the store last confirmed the configuration here.",
          s.ConfigAgeSeconds);
    m.set("config_outdated",
          "1 while another entry is known to go by a newer configuration.",
          s.ConfigOutdated ? 1 : 0);
    m.set("forwarded_writes_unanswered",
          "Forwarded calls that another entry may carry out unheard.",
          static_cast<double>(s.UnansweredWrites));
    m.set("cordoned_domains", "Failure domains that the operator evacuates.",
          static_cast<double>(s.CordonedDomains));
    if (s.Leads)
      m.set("cordon_age_seconds",
            "Since the store last confirmed the cordons at the leader.",
            s.CordonAgeSeconds);
    m.set("leader", "1 while this entry leads.", s.Leads ? 1 : 0);
    m.set("leader_epoch", "Epoch of the leader that this process follows.",
          static_cast<double>(s.LeaderEpoch));
    m.set("jobs_known", "Jobs in this entry's view of the store.",
          static_cast<double>(s.JobsKnown));
    m.set("jobs_memory_bytes",
          "Memory that the known jobs take, without tasks that run.",
          static_cast<double>(s.JobsMemoryBytes));
    m.set("jobs_memory_limit_bytes",
          "Memory for jobs beyond which further ones are refused.",
          static_cast<double>(s.JobsMemoryLimitBytes));
    m.set("jobs_active", "Jobs that are not over; only at the leader.",
          static_cast<double>(s.ActiveJobs));
    m.set("tasks_remembered",
          "Tasks that the leader remembers something of; only at the leader.",
          static_cast<double>(s.TasksRemembered));
    m.set("tasks_running",
          "Tasks that run or may run on a worker; only at the leader.",
          static_cast<double>(s.TasksRunning));
    m.set("tasks_running_limit",
          "Number of running tasks beyond which none starts; only at the "
          "leader.",
          static_cast<double>(s.MaxTasksRunning));
    m.set("saved_bytes",
          "What tasks have saved and the leader keeps; only at the leader.",
          static_cast<double>(s.SavedBytes));
    m.set("progress_written_bytes",
          "Progress of jobs that this leader has sent to the store.",
          static_cast<double>(s.ProgressBytesWritten));
    m.set("workers", "Workers that report; only at the leader.",
          static_cast<double>(s.Workers));
    m.set("workers_speed_known",
          "Usable workers that were compared with others; only at the leader.",
          s.Speeds.Known);
    m.set("workers_slow",
          "Usable workers that urgent work avoids as slow; only at the leader.",
          s.Speeds.Slow);
    // The counter is shown before the first such wait too.
    m.recordLongWaits(0);
    for (const jobs::WaitReason reason : jobs::allWaitReasons()) {
      auto steps = s.Waits.Steps.find(reason);
      m.set("waiting_steps", "Steps that wait, by reason; only at the leader.",
            steps == s.Waits.Steps.end() ? 0
                                         : static_cast<double>(steps->second),
            {{"reason", jobs::waitReasonName(reason)}});
    }
    m.set("longest_wait_beside_free_workers_seconds",
          "Longest time for which a step has waited while workers had the "
          "capacity for it; only at the leader.",
          absl::ToDoubleSeconds(s.Waits.LongestBesideFree));
    Guards.refresh();
    m.set("calls_open", "Calls that wait for their answer.",
          Callers.unanswered());
  }

  // Stops the entry; the process exits when it is idle. Further signals have no
  // effect.
  void stop() {
    if (StopStartedAt != absl::InfinitePast())
      return;
    StopStartedAt = utils::bootNow();
    Entry.beginStop();
    Callers.closeAfterAnswers();
    exitWhenIdle();
  }

  // Exits when the load balancer has had time to notice the stop and all calls
  // are answered, but at the latest after MaxShutdownTime.
  void exitWhenIdle() {
    const absl::Duration sinceStop = utils::bootNow() - StopStartedAt;
    const bool idle =
        sinceStop >= BalancerDetectionTime && Callers.unanswered() == 0;
    if (idle || sinceStop >= settings::deriveTiming(Settings).MaxShutdownTime) {
      logEvent(Event::ProcessStopped, {{"unanswered", Callers.unanswered()}});
      Loop.stop();
      return;
    }
    Loop.runAfter(IdleCheckInterval, [this] { exitWhenIdle(); });
  }

  const settings::NodeSettings Settings;
  utils::EventLoop Loop;
  http::AsyncClient Client{app::logRepeatedRequest};
  metrics::ProcessMetrics Metrics;
  const metrics::RequestGuards Guards{Settings.MemoryMb, Metrics};
  const endpoints::Peers Peers;
  JobEntry Entry;
  adapter::CallerServer Callers;
  adapter::ReadinessServer Ready;
  std::unique_ptr<metrics::MetricsServer> MetricsHttpServer;
  absl::Time StopStartedAt = absl::InfinitePast();
};

} // namespace

int serveJobs(const std::string &path) {
  return app::runWithSettings(
      "entry", path,
      [](const settings::NodeSettings &settings) -> std::function<void()> {
        auto process = std::make_shared<Process>(settings);
        return [process] { process->run(); };
      });
}

} // namespace oriolebay::entry
