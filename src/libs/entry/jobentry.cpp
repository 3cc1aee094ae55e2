#include "jobentry.h"

#include "decisionlog.h"
#include "eventlog/eventlog.h"
#include "utils/eventloop.h"
#include "utils/walltime.h"

#include <algorithm>
#include <functional>

namespace oriolebay::entry {

using endpoints::Message;
using eventlog::Event;
using eventlog::logEvent;

const char *const EntryPrefix = "oriolebay/entries/";
const char *const JobLeaderKey = "oriolebay/leader";

namespace {

constexpr int PeerTimeoutMs = 400;
/// Time for the leader to answer a state call. It covers the time for which the
/// leader waits until the end of a job is recorded. A leader that did not
/// answer is not called again for LeaderRetryDelay.
constexpr int LeaderAnswerTimeoutMs = 250;
constexpr absl::Duration LeaderRetryDelay = absl::Seconds(1);
/// Minimum time between two updates of an entry's view of the jobs and of the
/// other entries. It adds to the delay of the watch. Callers do not see the end
/// of a job late, because it is requested from the leader. The leader learns of
/// a new job from the entry that accepted it, and from its own view if that
/// message is lost.
constexpr absl::Duration ViewUpdatePause = absl::Milliseconds(500);
constexpr absl::Duration LeaderViewUpdatePause = absl::Milliseconds(100);
/// Maximum number of entries that are listed for an agent in addition to the
/// leader: enough for some of them to be available, and few enough to keep the
/// answer small.
constexpr size_t MaxEntriesPerAgent = 6;

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
      StoreClient(Health.monitored(store)) {
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
  election.Entry = {Peers.Address, Settings.ProcessorShare};
  election.IsLargerEntryKnown = [this] {
    return LargestProcessorShare > Settings.ProcessorShare;
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
  if (s.Leads) {
    s.ActiveJobs = Session->scheduler().unfinishedJobCount();
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
  const std::string &key = event.Item.Key;
  if (event.Deleted) {
    EntryAddresses.erase(key);
    return;
  }
  utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_AUTO(entry, platform::decodeEntry(event.Item.Value));
        EntryAddresses[key] = entry.Address;
        LargestProcessorShare =
            std::max(LargestProcessorShare, entry.ProcessorShare);
        return true;
      },
      [&](const utils::Error &e) {
        logEvent(Event::RecordRefused, {{"key", key}, {"error", e.text()}});
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

void JobEntry::onLeadership(const platform::Leadership &leadership) {
  const bool wasLeader = Leader.Mine;
  Leader = leadership;
  LeaderRetryTime = absl::InfinitePast();
  if (wasLeader)
    logEvent(
        Event::LeaderLost,
        {{"epoch", Session ? Session->scheduler().epoch() : leadership.Epoch}});
  Session.reset();
  ViewReadSinceElection = false;
  if (!leadership.Mine) {
    if (leadership.Epoch != 0)
      logEvent(Event::LeaderFollowed,
               {{"epoch", leadership.Epoch}, {"leader", leadership.Address}});
    return;
  }
  logEvent(Event::LeaderElected, {{"epoch", leadership.Epoch}});
  LeaderSessionOptions options;
  options.LeaderKey = JobLeaderKey;
  options.Address = Peers.Address;
  options.Grant = Time.Grant;
  options.GrantWithoutStore = Time.GrantWithoutStore;
  options.DoubtfulAfter = Time.LeaderLease;
  options.Policy.Fleet.UnresponsiveAfter = Time.UnresponsiveAfter;
  options.Policy.Fleet.LostAfter = Time.GrantExpiredAfter;
  options.Policy.UnreportedLostAfter =
      Time.GrantWithoutStore + Time.GrantExpiredAfter;
  // A previous leader that has ended may have granted until its end, whenever
  // it was last confirmed.
  options.Policy.PreviousUnconfirmedFor =
      std::min(Loop.now() - Election->earlierLeadersConfirmedBy(),
               Time.GrantWithoutStore);
  options.Policy.RemoteFactor = Settings.Bounds.RemoteFactor;
  options.Policy.GangWait = absl::Milliseconds(Settings.Bounds.GangWaitMs);
  options.Policy.Progress.RestoreTime =
      absl::Milliseconds(Settings.Bounds.RestoreMs);
  options.Policy.StopDuration = absl::Milliseconds(Settings.Bounds.StopGraceMs);
  options.Policy.ReclaimAfter = Time.ReclaimAfter;
  // The setting is a minimum, so jobs are retained for a quarter longer.
  options.Policy.FinishedJobRetention =
      absl::Milliseconds(Settings.Bounds.KeepFinishedMs) * 5 / 4;
  options.Policy.WallMs = [] { return absl::ToUnixMillis(utils::wallNow()); };
  Session = std::make_unique<LeaderSession>(
      Loop, StoreClient, Peers, *View, *Cordons, options, leadership.Epoch,
      [this] { return Election->confirmedAt(); },
      [this](const jobs::Decision &d) {
        logDecision(d);
        if (Observers.Decided)
          Observers.Decided(d);
      },
      [this](platform::StoreStatus status, const std::string &why) {
        logStoreError("recorder", status, why);
      },
      [this](const std::string &jobId) { Service->onEndPending(jobId); },
      [this](const jobs::ProgressWrite &write, int64_t revision) {
        // The watch reports the same record, but can be delayed for seconds
        // while the store drops its history. Until then the entry that has
        // recorded the end of a job would show the job as running.
        View->applyWrittenProgress(write.JobId, write.Progress, revision);
      },
      [this](const platform::KeyValue &record) { View->applyItem(record); },
      [this] {
        logEvent(Event::LeaderLost, {{"why", "another entry leads"}});
        Loop.post([this, alive = Alive] {
          if (*alive)
            Session.reset();
        });
      });
  // Only a read after the election is certain to contain everything that
  // earlier leaders wrote.
  View->readAgain();
  Cordons->read();
  Session->registerLeader([this] { beginSession(); });
}

// Begins the session once this entry is registered in the list of leaders, the
// jobs have been read since the election, the cordons are available, and a
// configuration that is not older than any that has decided about these jobs.
void JobEntry::beginSession() {
  if (!Session || Session->isRunning() || !Session->isRegistered() ||
      !ViewReadSinceElection)
    return;
  if (Config->current() != nullptr && !Config->isOutdated() &&
      Cordons->isConfirmed()) {
    Session->begin(Config->current());
    return;
  }
  Loop.runAfter(absl::Milliseconds(50), [this, alive = Alive] {
    if (*alive)
      beginSession();
  });
}

void JobEntry::onViewComplete() {
  ViewReadSinceElection = true;
  beginSession();
}

// A record was written while the configuration that decided it existed. A stamp
// from a store that was replaced since may be newer than the record, and tells
// nothing.
void JobEntry::onRecord(const jobs::StoredJob &job) {
  if (job.Record.DecidedBy.Revision < job.RecordRevision)
    Config->handleNewerConfig(job.Record.DecidedBy,
                              operators::ConfigNewsSource::JobRecord);
  if (Session)
    Session->onRecord(job);
}

// Notifies the leader of a job record that this entry has written.
void JobEntry::onJobWritten(const platform::KeyValue &item) {
  if (Leader.Epoch == 0 || Leader.Mine)
    return;
  // If this message is lost, the leader learns of the job from its watch.
  Peers.Call(Leader.Address,
             endpoints::JobWritten{item.Key, item.Value, item.ModRevision},
             PeerTimeoutMs, [](const std::optional<Message> &) {});
}

// The leader comes first: if the store serves any entry, it serves the leader.
std::vector<std::string> JobEntry::otherEntries() const {
  std::vector<std::string> otherAddresses;
  if (!Leader.Mine && !Leader.Address.empty())
    otherAddresses.push_back(Leader.Address);
  for (const auto &[key, address] : EntryAddresses)
    if (address != Peers.Address && address != Leader.Address)
      otherAddresses.push_back(address);
  return otherAddresses;
}

bool JobEntry::forward(const jobs::CallRequest &call,
                       const jobs::OnForwarded &done) {
  return Forwarder->forward(
      jobs::toMessage(call, Loop.now()),
      [done](const std::optional<endpoints::ForwardedAnswer> &answer,
             bool possiblyExecuted) {
        if (answer)
          done(jobs::toAnswer(*answer), possiblyExecuted);
        else
          done(std::nullopt, possiblyExecuted);
      });
}

bool JobEntry::askLeaderForState(const jobs::CallRequest &call,
                                 const jobs::OnLeaderAnswer &done) {
  if (Leader.Epoch == 0 || Leader.Mine || Loop.now() < LeaderRetryTime)
    return false;
  Peers.Call(
      Leader.Address, jobs::toMessage(call, Loop.now()), LeaderAnswerTimeoutMs,
      [this, alive = Alive, done](const std::optional<Message> &reply) {
        if (!*alive)
          return;
        if (!reply)
          LeaderRetryTime = Loop.now() + LeaderRetryDelay;
        const auto *answer =
            reply ? std::get_if<endpoints::ForwardedAnswer>(&*reply) : nullptr;
        if (answer != nullptr)
          done(jobs::toAnswer(*answer));
        else
          done(std::nullopt);
      });
  return true;
}

// Each agent gets a different selection of entries, so that not all agents turn
// to the same entries when the leader is lost.
std::vector<std::string>
JobEntry::entriesForAgent(const std::string &agent) const {
  std::vector<std::string> addresses;
  for (const auto &[key, address] : EntryAddresses)
    addresses.push_back(address);
  if (addresses.size() <= MaxEntriesPerAgent)
    return addresses;
  const size_t first = std::hash<std::string>()(agent) % addresses.size();
  std::rotate(addresses.begin(),
              addresses.begin() + static_cast<std::ptrdiff_t>(first),
              addresses.end());
  addresses.resize(MaxEntriesPerAgent);
  return addresses;
}

// Serves a forwarded call like a call of this entry's own callers, but never
// forwards it again.
void JobEntry::onForwarded(const endpoints::ForwardedCall &call,
                           const endpoints::Peers::Respond &respond) {
  utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_AUTO(request, jobs::toRequest(call, Loop.now()));
        Service->serveForwarded(
            std::move(request),
            [this, respond](const jobs::CallAnswer &answer) {
              jobs::CallAnswer ownAnswer = answer;
              ownAnswer.ServedBy = Peers.Address;
              respond(jobs::toMessage(ownAnswer));
            });
        return true;
      },
      [&](const utils::Error &e) {
        respond(endpoints::Ack{false, e.text()});
        return false;
      });
}

endpoints::Ack
JobEntry::onStepDownRequest(const endpoints::StandDown &stepDown) {
  if (!Session)
    return {};
  const int64_t epoch = Session->scheduler().epoch();
  if (epoch >= stepDown.Epoch)
    return {false, "this entry leads with a higher epoch", epoch};
  logEvent(Event::LeaderLost, {{"epoch", epoch},
                               {"why", "received a request to step down"},
                               {"by_epoch", stepDown.Epoch}});
  Session.reset();
  return {};
}

Message JobEntry::onMessage(const Message &message) {
  if (const auto *report = std::get_if<endpoints::WorkerReport>(&message)) {
    endpoints::ReportAck ack;
    if (Session)
      ack = Session->onReport(*report);
    if (!Leader.Mine) {
      ack.Leader = Leader.Address;
      ack.LeaderEpoch = Leader.Epoch;
    }
    ack.Entries = entriesForAgent(report->Agent);
    return ack;
  }
  if (const auto *written = std::get_if<endpoints::JobWritten>(&message)) {
    View->applyItem({written->Key, written->Value, 0, written->Revision, 0});
    return endpoints::Ack{};
  }
  if (const auto *stepDown = std::get_if<endpoints::StandDown>(&message))
    return onStepDownRequest(*stepDown);
  return endpoints::Ack{false, "this entry does not take that message"};
}

} // namespace oriolebay::entry
