#include "jobentry.h"

#include "decisionlog.h"
#include "eventlog/eventlog.h"
#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::entry {

using endpoints::Message;
using eventlog::Event;
using eventlog::logEvent;

const char *const EntryPrefix = "oriolebay/entries/";
const char *const JobLeaderKey = "oriolebay/leader";

namespace {

/// Minimum time between two updates of an entry's view of the jobs and of the
/// other entries. It adds to the delay of the watch. Callers do not see the end
/// of a job late, because it is requested from the leader. The leader learns of
/// a new job from the entry that accepted it, and from its own view if that
/// message is lost.
constexpr absl::Duration ViewUpdatePause = absl::Milliseconds(500);
constexpr absl::Duration LeaderViewUpdatePause = absl::Milliseconds(100);
/// One part of this many of a host's memory is for accepted jobs.
constexpr size_t JobMemoryDivisor = 8;

} // namespace

JobEntry::JobEntry(utils::EventLoop &loop, const platform::Store &store,
                   endpoints::Peers peers, settings::NodeSettings settings,
                   const OperatorKeys &operatorKeys, EntryObservers observers)
    : Loop(loop), Peers(std::move(peers)), Settings(std::move(settings)),
      Time(settings::deriveTiming(Settings)), Observers(std::move(observers)),
      Health(
          loop,
          [](bool ok, const std::string &why) {
            logEvent(ok ? Event::StoreRegained : Event::StoreLost,
                     {{"why", why}});
          },
          Observers.StoreCalled),
      StoreClient(Health.monitored(store)),
      Directory([this](const std::string &address) {
        return Peers.IsAddress(address);
      }) {
  Peers.Serve([this, alive = Alive](const Message &m, const auto &respond) {
    const auto *call = std::get_if<endpoints::ForwardedCall>(&m);
    if (!*alive)
      respond(endpoints::Ack{false, "this entry has stopped"});
    else if (call != nullptr)
      onForwarded(*call, respond);
    else
      respond(onMessage(m));
  });
  platform::FollowTiming follow;
  platform::FollowTiming pacedFollow;
  pacedFollow.DelayAfterChanges = [this] {
    return Leader.Mine ? LeaderViewUpdatePause : ViewUpdatePause;
  };
  auto storeErrorLogger = [this](const char *what) {
    return [this, what](platform::StoreStatus status, const std::string &why) {
      logStoreError(what, status, why);
    };
  };
  Config = std::make_unique<operators::ConfigFollower>(
      Loop, StoreClient,
      operators::ConfigSource{operatorKeys.Config, operatorKeys.DecodeConfig,
                              Time.ConfirmInterval, follow},
      [this](const std::shared_ptr<const core::SiteConfig> &c) { onConfig(c); },
      [](const utils::Error &e) {
        logEvent(Event::ConfigRefused, {{"error", e.text()}});
      },
      [this](const core::ConfigStamp &newer,
             operators::ConfigNewsSource source) {
        onConfigOutdated(newer, source);
      },
      storeErrorLogger("configuration"));
  operators::CordonSource cordonSource;
  cordonSource.Prefix = operatorKeys.CordonPrefix;
  cordonSource.ReadInterval = Time.CordonReadInterval;
  cordonSource.NeedsFreshView = [this] { return Leader.Mine; };
  Cordons = std::make_unique<operators::CordonFollower>(
      Loop, StoreClient, cordonSource,
      [this](const core::Cordons &c) { onCordons(c); },
      storeErrorLogger("cordons"));
  View = std::make_unique<jobs::JobView>(
      Loop, StoreClient, pacedFollow,
      [this](const jobs::StoredJob &job) { onRecord(job); },
      [this](const std::string &id) {
        if (Session)
          Session->onRemoved(id);
        if (Service)
          Service->onRecordRemoved(id);
      },
      [this](const std::string &id) {
        if (Service)
          Service->onEndRecorded(id);
      },
      [this] { onViewComplete(); },
      [](const std::string &key, const utils::Error &e) {
        logEvent(Event::RecordRefused, {{"key", key}, {"error", e.text()}});
      },
      storeErrorLogger("jobs"));
  jobs::JobServicePolicy servicePolicy;
  servicePolicy.MaxConfigAge = Time.MaxConfigAge;
  servicePolicy.MaxRollbackTime =
      absl::Milliseconds(Settings.Bounds.ConfigRollbackMs);
  servicePolicy.MaxViewAge = Time.MaxViewAge;
  Forwarder = std::make_unique<CallForwarder>(
      Loop, Peers, [this] { return otherEntries(); });
  Service = std::make_unique<jobs::JobService>(
      Loop, StoreClient, *View, *Config, servicePolicy,
      [this] { return Health.failingSince(); },
      [this] { return Health.recentLatency(); },
      [this] {
        return Cordons->current().containsAll(Settings.SiteFailureDomains);
      },
      [this] { return jobMemoryLimit(); },
      [this](const jobs::CallRequest &call, const jobs::OnForwarded &done) {
        return forward(call, done);
      },
      [this](const jobs::CallRequest &call, const jobs::OnLeaderAnswer &done) {
        return askLeaderForState(call, done);
      },
      [this](const platform::KeyValue &item) { onJobWritten(item); },
      [this](const jobs::CallDecision &d) {
        logCall(d);
        if (Observers.Called)
          Observers.Called(d);
      });
  Entries = std::make_unique<platform::PrefixFollower>(
      Loop, StoreClient, EntryPrefix, pacedFollow,
      [this](const platform::StoreEvent &event) { onEntry(event); },
      [](int64_t) {}, storeErrorLogger("entries"));
  platform::ElectionOptions election;
  election.LeaderKey = JobLeaderKey;
  election.EntryPrefix = EntryPrefix;
  election.Name = Settings.Name;
  election.Entry = {Peers.Address, Settings.ProcessorShare, Settings.MemoryMb};
  election.IsLargerEntryKnown = [this] {
    return Directory.isLargerKnown(Settings.ProcessorShare, Loop.now());
  };
  election.LeaseTtl = Time.LeaderLease;
  election.Follow = follow;
  Election = std::make_unique<platform::Election>(
      Loop, StoreClient, election,
      [this](const platform::Leadership &l) { onLeadership(l); },
      storeErrorLogger("election"));
}

JobEntry::~JobEntry() { *Alive = false; }

void JobEntry::start() {
  Config->start();
  Cordons->read();
  View->start();
  Entries->start();
  Election->start();
}

// Any entry may lead, also the one with the least memory.
jobs::JobMemoryLimit JobEntry::jobMemoryLimit() const {
  int64_t mb = Settings.MemoryMb;
  if (const int64_t smallest = Directory.smallestMemoryMb(); smallest > 0)
    mb = std::min(mb, smallest);
  return {settings::partOfMemory(mb, JobMemoryDivisor),
          std::max<size_t>(1, Directory.count())};
}

bool JobEntry::ready(std::string *why) const {
  const char *reason = nullptr;
  if (Stopping)
    reason = "stopping";
  else if (Config->current() == nullptr)
    reason = "no configuration yet";
  else if (Config->age(Loop.now()) > Time.NotReadyAfter)
    reason = "the configuration has not been confirmed for too long";
  else if (!View->isComplete())
    reason = "the jobs have not been read yet";
  if (reason != nullptr && why != nullptr)
    *why = reason;
  return reason == nullptr;
}

EntryStatus JobEntry::status() const {
  EntryStatus s;
  if (Config->current() != nullptr) {
    s.ConfigVersion = Config->current()->Version;
    s.ConfigOutdated = Config->isOutdated();
    s.ConfigAgeSeconds = absl::ToDoubleSeconds(Config->age(Loop.now()));
  }
  s.UnansweredWrites = Service->unansweredWriteCount();
  s.CordonedDomains = Cordons->current().Domains.size();
  s.CordonAgeSeconds = absl::ToDoubleSeconds(Cordons->age(Loop.now()));
  s.Leads = Session != nullptr && Session->isRunning();
  s.LeaderEpoch = Leader.Epoch;
  s.JobsKnown = View->jobs().size();
  s.JobsMemoryBytes = View->memoryBytes();
  s.JobsMemoryLimitBytes = jobMemoryLimit().Bytes;
  if (s.Leads) {
    s.ActiveJobs = Session->scheduler().unfinishedJobCount();
    s.TasksRemembered = Session->scheduler().rememberedTaskCount();
    s.TasksRunning = Session->scheduler().runningTaskCount();
    s.MaxTasksRunning = Session->scheduler().maxRunningTasks();
    s.SavedBytes = Session->scheduler().savedBytes();
    s.ProgressBytesWritten = Session->progressBytesWritten();
    s.Workers = Session->scheduler().fleet().workers().size();
    s.Waits = Session->scheduler().waitSummary();
    s.Speeds = Session->scheduler().speedSummary();
  }
  return s;
}

void JobEntry::beginStop() {
  if (Stopping)
    return;
  Stopping = true;
  logEvent(Event::ProcessStopping, {{"leads", Leader.Mine}});
  Election->resign([] {});
}

void JobEntry::onConfig(const std::shared_ptr<const core::SiteConfig> &config) {
  logEvent(Event::ConfigAccepted,
           {{"version", config->Version}, {"queues", config->Queues.size()}});
  if (Session)
    Session->onConfig(config);
}

void JobEntry::onCordons(const core::Cordons &cordons) {
  const auto logDifference = [this](const core::Cordons &from,
                                    const core::Cordons &to, Event event) {
    for (const std::string &domain : to.Domains)
      if (!from.contains(domain))
        logEvent(event, {{"domain", domain}, {"leads", Leader.Mine}});
  };
  logDifference(LoggedCordons, cordons, Event::DomainCordoned);
  logDifference(cordons, LoggedCordons, Event::DomainCordonLifted);
  LoggedCordons = cordons;
  if (Session)
    Session->onCordons(cordons);
}

void JobEntry::onEntry(const platform::StoreEvent &event) {
  utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_CHECK(Directory.apply(event, Loop.now()));
        return true;
      },
      [&](const utils::Error &e) {
        logEvent(Event::RecordRefused,
                 {{"key", event.Item.Key}, {"error", e.text()}});
        return false;
      });
}

void JobEntry::onConfigOutdated(const core::ConfigStamp &newer,
                                operators::ConfigNewsSource source) {
  const core::ConfigStamp ownStamp = Config->stamp();
  logEvent(Event::ConfigOutdated,
           {{"version", ownStamp.Version},
            {"revision", ownStamp.Revision},
            {"newer_version", newer.Version},
            {"newer_revision", newer.Revision},
            {"source", operators::configNewsSourceName(source)},
            {"config_age_ms", jobs::loggedAgeMs(Config->age(Loop.now()))}});
}

void JobEntry::logStoreError(const char *what, platform::StoreStatus status,
                             const std::string &why) {
  logEvent(Event::StoreCallFailed,
           {{"what", what},
            {"status", platform::storeStatusName(status)},
            {"why", why}});
}

void JobEntry::onRecord(const jobs::StoredJob &job) {
  Config->handleNewerConfig(job.decidedBy(),
                            operators::ConfigNewsSource::JobRecord);
  if (Session)
    Session->onRecord(job);
}

} // namespace oriolebay::entry
