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
/// The leader answers a state call within what it waits for the record of an
/// end. One that did not answer is not asked again for so long.
constexpr int LeaderAnswerMs = 250;
constexpr absl::Duration LeaderSilentFor = absl::Seconds(1);
/// How old an entry's view of the jobs and of the other entries may get, beyond
/// the watch itself. What callers must not see late, the ends of jobs, is asked
/// of the leader, and the leader is told of new jobs by the entries that accept
/// them; its own view is the way back when such a message is lost.
constexpr absl::Duration ViewRest = absl::Milliseconds(500);
constexpr absl::Duration LeaderViewRest = absl::Milliseconds(100);
/// Entries that an agent is told of, beside the leader: enough for some of them
/// to be up, and few enough for an answer to stay small.
constexpr size_t EntriesTold = 6;

} // namespace

JobEntry::JobEntry(
    utils::EventLoop &loop, const platform::Store &store,
    endpoints::Peers peers, settings::NodeSettings settings,
    std::function<utils::Result<core::SiteConfig>(const std::string &)>
        decodeConfig,
    std::string configKey, EntryObservers observers)
    : Loop(loop), Peers(std::move(peers)), Settings(std::move(settings)),
      Time(settings::deriveTiming(Settings)), Observers(std::move(observers)),
      Health(
          loop,
          [](bool ok, const std::string &why) {
            logEvent(ok ? Event::StoreRegained : Event::StoreLost,
                     {{"why", why}});
          },
          Observers.StoreCalled),
      Calls(Health.watching(store)) {
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
  platform::FollowTiming restingFollow;
  restingFollow.RestAfterNews = [this] {
    return Leader.Mine ? LeaderViewRest : ViewRest;
  };
  auto trouble = [this](const char *what) {
    return [this, what](platform::StoreStatus status, const std::string &why) {
      storeTrouble(what, status, why);
    };
  };
  Config = std::make_unique<operators::ConfigFollower>(
      Loop, Calls,
      operators::ConfigSource{std::move(configKey), std::move(decodeConfig),
                              Time.ConfirmEvery, follow},
      [this](const std::shared_ptr<const core::SiteConfig> &c) { onConfig(c); },
      [](const utils::Error &e) {
        logEvent(Event::ConfigRefused, {{"error", e.text()}});
      },
      [this](const core::ConfigStamp &newer) { onConfigOutdated(newer); },
      trouble("configuration"));
  View = std::make_unique<jobs::JobView>(
      Loop, Calls, restingFollow,
      [this](const jobs::StoredJob &job) {
        if (Duty)
          Duty->onRecord(job);
      },
      [this](const std::string &id) {
        if (Duty)
          Duty->onRemoved(id);
        if (Desk)
          Desk->forget(id);
      },
      [this](const std::string &id) {
        if (Desk)
          Desk->onEndRecorded(id);
      },
      [this] { onViewComplete(); },
      [](const std::string &key, const utils::Error &e) {
        logEvent(Event::RecordRefused, {{"key", key}, {"error", e.text()}});
      },
      trouble("jobs"));
  jobs::DeskPolicy desk;
  desk.OldestConfig = Time.OldestConfig;
  desk.FreshView = Time.FreshConfig;
  Forwarder = std::make_unique<CallForwarder>(
      Loop, Peers, [this] { return otherEntries(); });
  Desk = std::make_unique<jobs::JobDesk>(
      Loop, Calls, *View, *Config, desk,
      [this] { return Health.failingSince(); },
      [this](const jobs::CallRequest &call, const jobs::OnForwarded &done) {
        return forward(call, done);
      },
      [this](const jobs::CallRequest &call, const jobs::OnLeaderAnswer &done) {
        return askLeader(call, done);
      },
      [this](const platform::KeyValue &item) { onWritten(item); },
      [this](const jobs::CallDecision &d) {
        logCall(d);
        if (Observers.Called)
          Observers.Called(d);
      });
  Entries = std::make_unique<platform::PrefixFollower>(
      Loop, Calls, EntryPrefix, restingFollow,
      [this](const platform::StoreEvent &event) { onEntry(event); },
      [](int64_t) {}, trouble("entries"));
  platform::ElectionOptions election;
  election.LeaderKey = JobLeaderKey;
  election.EntryPrefix = EntryPrefix;
  election.Name = Settings.Name;
  election.Entry = {Peers.Address, Settings.ProcessorShare};
  election.LargerIsKnown = [this] {
    return LargestProcessorShare > Settings.ProcessorShare;
  };
  election.LeaseTtl = Time.LeaderLease;
  election.Follow = follow;
  Election = std::make_unique<platform::Election>(
      Loop, Calls, election,
      [this](const platform::Leadership &l) { onLeadership(l); },
      trouble("election"));
}

JobEntry::~JobEntry() { *Alive = false; }

void JobEntry::start() {
  Config->start();
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
  else if (!View->complete())
    reason = "the jobs have not been read yet";
  if (reason != nullptr && why != nullptr)
    *why = reason;
  return reason == nullptr;
}

EntryStatus JobEntry::status() const {
  EntryStatus s;
  if (Config->current() != nullptr) {
    s.ConfigVersion = Config->current()->Version;
    s.ConfigOutdated = Config->outdated();
    s.ConfigAgeSeconds = absl::ToDoubleSeconds(Config->age(Loop.now()));
  }
  s.Leads = Duty != nullptr && Duty->begun();
  s.LeaderEpoch = Leader.Epoch;
  s.JobsKnown = View->jobs().size();
  if (s.Leads) {
    s.ActiveJobs = Duty->scheduler().activeJobs();
    s.Workers = Duty->scheduler().fleet().workers().size();
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
  if (Duty)
    Duty->onConfig(config);
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

void JobEntry::onConfigOutdated(const core::ConfigStamp &newer) {
  const core::ConfigStamp held = Config->stamp();
  logEvent(Event::ConfigOutdated,
           {{"version", held.Version},
            {"revision", held.Revision},
            {"newer_version", newer.Version},
            {"newer_revision", newer.Revision},
            {"config_age_ms", jobs::shownAgeMs(Config->age(Loop.now()))}});
}

void JobEntry::storeTrouble(const char *what, platform::StoreStatus status,
                            const std::string &why) {
  logEvent(Event::StoreCallFailed,
           {{"what", what},
            {"status", platform::storeStatusName(status)},
            {"why", why}});
}

void JobEntry::onLeadership(const platform::Leadership &leadership) {
  const bool led = Leader.Mine;
  Leader = leadership;
  LeaderSilentUntil = absl::InfinitePast();
  if (led)
    logEvent(Event::LeaderLost,
             {{"epoch", Duty ? Duty->scheduler().epoch() : leadership.Epoch}});
  Duty.reset();
  ReadSinceElection = false;
  if (!leadership.Mine) {
    if (leadership.Epoch != 0)
      logEvent(Event::LeaderFollowed,
               {{"epoch", leadership.Epoch}, {"leader", leadership.Address}});
    return;
  }
  logEvent(Event::LeaderElected, {{"epoch", leadership.Epoch}});
  DutyOptions options;
  options.LeaderKey = JobLeaderKey;
  options.Address = Peers.Address;
  options.Grant = Time.Grant;
  options.GrantWithoutStore = Time.GrantWithoutStore;
  options.DoubtfulAfter = Time.LeaderLease;
  options.Policy.Fleet.SuspectAfter = Time.SuspectAfter;
  options.Policy.Fleet.LostAfter = Time.GrantOverAfter;
  options.Policy.UnheardLostAfter =
      Time.GrantWithoutStore + Time.GrantOverAfter;
  options.Policy.RemoteFactor = Settings.Bounds.RemoteFactor;
  options.Policy.GangWait = absl::Milliseconds(Settings.Bounds.GangWaitMs);
  options.Policy.Progress.Restore =
      absl::Milliseconds(Settings.Bounds.RestoreMs);
  options.Policy.StopTakes = absl::Milliseconds(Settings.Bounds.StopGraceMs);
  options.Policy.ReclaimAfter = Time.ReclaimAfter;
  options.Policy.KeepFinished =
      absl::Milliseconds(Settings.Bounds.KeepFinishedMs) * 5 / 4;
  options.Policy.WallMs = [] { return absl::ToUnixMillis(utils::wallNow()); };
  Duty = std::make_unique<LeaderDuty>(
      Loop, Calls, Peers, *View, options, leadership.Epoch,
      [this] { return Election->confirmed(); },
      [this](const jobs::Decision &d) {
        logDecision(d);
        if (Observers.Decided)
          Observers.Decided(d);
      },
      [this](platform::StoreStatus status, const std::string &why) {
        storeTrouble("recorder", status, why);
      },
      [this](const std::string &jobId) { Desk->expectEnd(jobId); },
      [this](const jobs::ProgressWrite &write, int64_t revision) {
        // The watch brings the same, but may be silent for seconds while the
        // store drops its history: the entry that had recorded an end showed
        // its job as running for so long.
        View->learnProgress(write.JobId, write.Progress, revision);
      },
      [this] {
        logEvent(Event::LeaderLost, {{"why", "another entry leads"}});
        Loop.post([this, alive = Alive] {
          if (*alive)
            Duty.reset();
        });
      });
  // Only what is read after the election is sure to be all that earlier
  // leaders wrote.
  View->readAgain();
  Duty->enter([this] { beginDuty(); });
}

// Once this entry stands among the leaders, the jobs have been read since the
// election, and there is a configuration to go by.
void JobEntry::beginDuty() {
  if (!Duty || Duty->begun() || !Duty->entered() || !ReadSinceElection)
    return;
  if (Config->current() != nullptr) {
    Duty->begin(Config->current());
    return;
  }
  Loop.runAfter(absl::Milliseconds(50), [this, alive = Alive] {
    if (*alive)
      beginDuty();
  });
}

void JobEntry::onViewComplete() {
  ReadSinceElection = true;
  beginDuty();
}

void JobEntry::onWritten(const platform::KeyValue &item) {
  if (Leader.Epoch == 0 || Leader.Mine)
    return;
  // Without an answer the leader's watch tells it all the same.
  Peers.Call(Leader.Address,
             endpoints::JobWritten{item.Key, item.Value, item.ModRevision},
             PeerTimeoutMs, [](const std::optional<Message> &) {});
}

// The leader first: if anyone is served by the store, it is.
std::vector<std::string> JobEntry::otherEntries() const {
  std::vector<std::string> others;
  if (!Leader.Mine && !Leader.Address.empty())
    others.push_back(Leader.Address);
  for (const auto &[key, address] : EntryAddresses)
    if (address != Peers.Address && address != Leader.Address)
      others.push_back(address);
  return others;
}

bool JobEntry::forward(const jobs::CallRequest &call,
                       const jobs::OnForwarded &done) {
  return Forwarder->forward(
      jobs::toMessage(call, Loop.now()),
      [done](const std::optional<endpoints::ForwardedAnswer> &answer,
             bool mayBeDone) {
        if (answer)
          done(jobs::toAnswer(*answer), mayBeDone);
        else
          done(std::nullopt, mayBeDone);
      });
}

bool JobEntry::askLeader(const jobs::CallRequest &call,
                         const jobs::OnLeaderAnswer &done) {
  if (Leader.Epoch == 0 || Leader.Mine || Loop.now() < LeaderSilentUntil)
    return false;
  Peers.Call(Leader.Address, jobs::toMessage(call, Loop.now()), LeaderAnswerMs,
             [this, alive = Alive, done](const std::optional<Message> &reply) {
               if (!*alive)
                 return;
               if (!reply)
                 LeaderSilentUntil = Loop.now() + LeaderSilentFor;
               const auto *answer =
                   reply ? std::get_if<endpoints::ForwardedAnswer>(&*reply)
                         : nullptr;
               if (answer != nullptr)
                 done(jobs::toAnswer(*answer));
               else
                 done(std::nullopt);
             });
  return true;
}

// Each agent is told of other ones, so that they don't all turn to the same
// entries when the leader is lost.
std::vector<std::string>
JobEntry::entriesToldTo(const std::string &agent) const {
  std::vector<std::string> all;
  for (const auto &[key, address] : EntryAddresses)
    all.push_back(address);
  if (all.size() <= EntriesTold)
    return all;
  const size_t first = std::hash<std::string>()(agent) % all.size();
  std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(first),
              all.end());
  all.resize(EntriesTold);
  return all;
}

// Served as if its caller had come here, but never handed on again.
void JobEntry::onForwarded(const endpoints::ForwardedCall &call,
                           const endpoints::Peers::Respond &respond) {
  utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_AUTO(request, jobs::toRequest(call, Loop.now()));
        Desk->serveForwarded(std::move(request),
                             [this, respond](const jobs::CallAnswer &answer) {
                               jobs::CallAnswer ours = answer;
                               ours.ServedBy = Peers.Address;
                               respond(jobs::toMessage(ours));
                             });
        return true;
      },
      [&](const utils::Error &e) {
        respond(endpoints::Ack{false, e.text()});
        return false;
      });
}

endpoints::Ack JobEntry::onStandDown(const endpoints::StandDown &down) {
  if (!Duty)
    return {};
  const int64_t epoch = Duty->scheduler().epoch();
  if (epoch >= down.Epoch)
    return {false, "this entry leads with a higher epoch", epoch};
  logEvent(Event::LeaderLost, {{"epoch", epoch},
                               {"why", "told to stand down"},
                               {"by_epoch", down.Epoch}});
  Duty.reset();
  return {};
}

Message JobEntry::onMessage(const Message &message) {
  if (const auto *report = std::get_if<endpoints::WorkerReport>(&message)) {
    endpoints::ReportAck ack;
    if (Duty)
      ack = Duty->onReport(*report);
    if (!Leader.Mine) {
      ack.Leader = Leader.Address;
      ack.LeaderEpoch = Leader.Epoch;
    }
    ack.Entries = entriesToldTo(report->Agent);
    return ack;
  }
  if (const auto *written = std::get_if<endpoints::JobWritten>(&message)) {
    View->learn({written->Key, written->Value, 0, written->Revision, 0});
    return endpoints::Ack{};
  }
  if (const auto *down = std::get_if<endpoints::StandDown>(&message))
    return onStandDown(*down);
  return endpoints::Ack{false, "this entry does not take that message"};
}

} // namespace oriolebay::entry
