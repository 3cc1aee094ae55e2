#include "configfollower.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::operators {

using platform::StoreReply;
using platform::StoreStatus;
using platform::StoreTxnReply;

ConfigFollower::ConfigFollower(utils::EventLoop &loop,
                               const platform::Store &store,
                               ConfigSource source, OnConfig onConfig,
                               OnRefused onRefused, OnOutdated onOutdated,
                               OnTrouble onTrouble)
    : Loop(loop), Calls(store), Source(std::move(source)),
      Changed(std::move(onConfig)), Refused(std::move(onRefused)),
      Outdated(std::move(onOutdated)), Trouble(std::move(onTrouble)),
      Follower(
          loop, store, Source.Key, Source.Follow,
          [this](const platform::StoreEvent &event) {
            if (event.Item.Key == Source.Key && !event.Deleted)
              take(event.Item);
          },
          [this](int64_t) { confirm([](bool) {}); },
          [this](StoreStatus status, const std::string &why) {
            Trouble(status, why);
          }) {}

ConfigFollower::~ConfigFollower() { *Alive = false; }

void ConfigFollower::start() {
  Follower.start();
  confirmLater();
}

void ConfigFollower::take(const platform::KeyValue &item) {
  if (item.ModRevision <= SeenRevision)
    return;
  SeenRevision = item.ModRevision;
  utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_AUTO(config, Source.Decode(item.Value));
        // Versions only grow; a lower one here is a mistake of its writer.
        if (Current != nullptr && config.Version < Current->Version)
          return utils::fail(utils::ErrorKind::StaleVersion,
                             "configuration version went back",
                             "write it again with a higher version");
        Revision = item.ModRevision;
        Current = std::make_shared<const core::SiteConfig>(std::move(config));
        Changed(Current);
        return true;
      },
      [&](const utils::Error &e) {
        Refused(e);
        // The last good configuration stays; conditions are on the refused
        // value's revision, so that work goes on under it.
        if (Current != nullptr)
          Revision = item.ModRevision;
        return false;
      });
}

void ConfigFollower::learn(const platform::KeyValue &item, absl::Time sent) {
  take(item);
  if (item.ModRevision == SeenRevision)
    Confirmed = std::max(Confirmed, sent);
}

void ConfigFollower::heardOf(const core::ConfigStamp &newer) {
  if (newer.Revision <= newestRevision())
    return;
  NewestHeard = newer.Revision;
  Outdated(newer);
  confirm([](bool) {});
}

void ConfigFollower::confirmLater() {
  Loop.runAfter(Source.ConfirmEvery, [this, alive = Alive] {
    if (!*alive)
      return;
    confirm([this, alive](bool) {
      if (*alive)
        confirmLater();
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
  const absl::Time sent = Loop.now();
  const int64_t asked = Revision;
  Calls.Transact(std::move(txn),
                 [this, alive = Alive, sent, asked,
                  done = std::move(done)](const StoreReply<StoreTxnReply> &r) {
                   if (!*alive)
                     return;
                   if (r.ok()) {
                     // It may have changed here since: then the answer is about
                     // an older one, but a newer one was seen, so the view is
                     // as fresh.
                     if (asked <= Revision)
                       Confirmed = std::max(Confirmed, sent);
                     done(true);
                     return;
                   }
                   if (r.Status == StoreStatus::Conflict) {
                     for (const platform::KeyValue &item : r.Value.Current)
                       if (item.Key == Source.Key)
                         learn(item, sent);
                     done(true);
                     return;
                   }
                   Trouble(r.Status, r.Why);
                   done(false);
                 });
}

} // namespace oriolebay::operators
