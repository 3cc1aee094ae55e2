#include "configfollower.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::operators {

using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;

const char *configNewsSourceName(ConfigNewsSource source) {
  switch (source) {
  case ConfigNewsSource::ForwardedCall:
    return "forwarded call";
  case ConfigNewsSource::ForwardedAnswer:
    return "answer of another entry";
  case ConfigNewsSource::JobRecord:
    return "job record";
  }
  return "unknown";
}

ConfigFollower::ConfigFollower(utils::EventLoop &loop,
                               const platform::Store &store,
                               ConfigSource source, OnConfig onConfig,
                               OnRefused onRefused, OnOutdated onOutdated,
                               OnStoreError onStoreError)
    : Loop(loop), StoreClient(store), Source(std::move(source)),
      NotifyChanged(std::move(onConfig)), NotifyRefused(std::move(onRefused)),
      NotifyOutdated(std::move(onOutdated)),
      NotifyStoreError(std::move(onStoreError)),
      Follower(
          loop, store, Source.Key, Source.Follow,
          [this](const platform::StoreEvent &event) {
            if (event.Item.Key == Source.Key && !event.Deleted)
              applyConfig(event.Item);
          },
          [this](int64_t) { confirm([](bool) {}); },
          [this](StoreStatus status, const std::string &why) {
            NotifyStoreError(status, why);
          }) {}

ConfigFollower::~ConfigFollower() { *Alive = false; }

void ConfigFollower::start() {
  Follower.start();
  scheduleConfirmation();
}

void ConfigFollower::applyConfig(const platform::KeyValue &item) {
  if (item.ModRevision <= SeenRevision)
    return;
  SeenRevision = item.ModRevision;
  utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_AUTO(config, Source.Decode(item.Value));
        // Versions only increase; a lower one is a mistake of the operator who
        // wrote it.
        if (Current != nullptr && config.Version < Current->Version)
          return utils::fail(
              utils::ErrorKind::StaleVersion,
              "configuration version is lower than the one in force",
              "write the configuration again with a higher version");
        Revision = item.ModRevision;
        Current = std::make_shared<const core::SiteConfig>(std::move(config));
        NotifyChanged(Current);
        return true;
      },
      [&](const utils::Error &e) {
        NotifyRefused(e);
        // The last valid configuration stays in force, but conditions expect
        // the revision of the refused value, so that transactions still
        // succeed.
        if (Current != nullptr)
          Revision = item.ModRevision;
        return false;
      });
}

void ConfigFollower::applyItem(const platform::KeyValue &item,
                               absl::Time sentAt) {
  applyConfig(item);
  if (item.ModRevision == SeenRevision)
    ConfirmedAt = std::max(ConfirmedAt, sentAt);
}

void ConfigFollower::handleNewerConfig(const core::ConfigStamp &newer,
                                       ConfigNewsSource source) {
  if (newer.Revision <= newestKnown().Revision)
    return;
  NewestHeardOf = newer;
  if (Current != nullptr)
    NotifyOutdated(newer, source);
  confirm([](bool) {});
}

void ConfigFollower::scheduleConfirmation() {
  Loop.runAfter(Source.ConfirmInterval, [this, alive = Alive] {
    if (!*alive)
      return;
    confirm([this, alive](bool) {
      if (*alive)
        scheduleConfirmation();
    });
  });
}

void ConfigFollower::confirm(std::function<void(bool)> done, long timeoutMs) {
  if (Revision == 0) {
    done(false);
    return;
  }
  platform::StoreTxn txn;
  txn.Expected.push_back(condition());
  txn.TimeoutMs = timeoutMs;
  const absl::Time sentAt = Loop.now();
  const int64_t expectedRevision = Revision;
  StoreClient.Transact(
      std::move(txn),
      [this, alive = Alive, sentAt, expectedRevision,
       done = std::move(done)](const StoreReply<StoreTxnReply> &r) {
        if (!*alive)
          return;
        if (r.ok()) {
          // The configuration in force may have changed since the call was
          // sent. The answer is then about an older one, and the newer view is
          // at least as fresh.
          if (expectedRevision <= Revision)
            ConfirmedAt = std::max(ConfirmedAt, sentAt);
          done(true);
          return;
        }
        if (r.Status == StoreStatus::Conflict) {
          for (const platform::KeyValue &item : r.Value.Current)
            if (item.Key == Source.Key)
              applyItem(item, sentAt);
          done(true);
          return;
        }
        NotifyStoreError(r.Status, r.Why);
        done(false);
      });
}

} // namespace oriolebay::operators
