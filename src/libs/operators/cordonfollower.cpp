#include "cordonfollower.h"

#include "utils/eventloop.h"

#include <utility>

namespace oriolebay::operators {

using platform::ReadMode;
using platform::StorePage;
using platform::StoreReply;

CordonFollower::CordonFollower(utils::EventLoop &loop,
                               const platform::Store &store,
                               CordonSource source, OnChange onChange,
                               OnStoreError onStoreError)
    : Loop(loop), StoreClient(store), Source(std::move(source)),
      NotifyChanged(std::move(onChange)),
      NotifyStoreError(std::move(onStoreError)) {}

CordonFollower::~CordonFollower() { ++*CurrentNumber; }

void CordonFollower::read() {
  auto reading = std::make_shared<Reading>();
  reading->Number = ++*CurrentNumber;
  reading->Mode =
      needsFreshView() ? ReadMode::Linearizable : ReadMode::MaybeStale;
  reading->SentAt = Loop.now();
  readPage(reading, "");
}

void CordonFollower::readPage(const ReadingPtr &reading,
                              const std::string &after) {
  StoreClient.Range(Source.Prefix, after, reading->Mode,
                    [this, number = CurrentNumber,
                     reading](const StoreReply<StorePage> &reply) {
                      if (*number == reading->Number)
                        onPage(reading, reply);
                    });
}

void CordonFollower::onPage(const ReadingPtr &reading,
                            const StoreReply<StorePage> &reply) {
  if (!reply.ok()) {
    NotifyStoreError(reply.Status, reply.Why);
    readAfter(Source.RetryPause);
    return;
  }
  for (const platform::KeyValue &item : reply.Value.Items)
    addCordon(*reading, item.Key);
  for (const std::string &key : reply.Value.UnreadableKeys)
    addCordon(*reading, key);
  const std::string last = platform::lastKey(reply.Value);
  if (reply.Value.More && !last.empty())
    readPage(reading, last);
  else
    finish(*reading);
}

// The key alone cordons the failure domain.
void CordonFollower::addCordon(Reading &reading, const std::string &key) const {
  if (key.size() > Source.Prefix.size())
    reading.Found.Domains.insert(key.substr(Source.Prefix.size()));
}

// The pages are not a snapshot, but each of them contains the cordons that were
// set before the first one was requested.
void CordonFollower::finish(const Reading &reading) {
  if (reading.Mode == ReadMode::Linearizable)
    ConfirmedAt = reading.SentAt;
  if (reading.Found != Current) {
    Current = reading.Found;
    NotifyChanged(Current);
  }
  const bool idle = Current.Domains.empty() && !needsFreshView();
  readAfter(idle ? Source.IdleReadInterval : Source.ReadInterval);
}

void CordonFollower::readAfter(absl::Duration pause) {
  Loop.runAfter(pause,
                [this, number = CurrentNumber, expected = *CurrentNumber] {
                  if (*number == expected)
                    read();
                });
}

} // namespace oriolebay::operators
