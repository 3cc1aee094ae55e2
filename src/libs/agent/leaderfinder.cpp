#include "leaderfinder.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::agent {

namespace {
/// After so many answers in a row that do not lead further, the entries known
/// may all be gone: the store is asked.
constexpr int MissesBeforeStore = 3;
constexpr absl::Duration AskAgain = absl::Milliseconds(300);
} // namespace

LeaderFinder::LeaderFinder(utils::EventLoop &loop, platform::Store store,
                           std::string entryPrefix)
    : Loop(loop), Calls(std::move(store)), EntryPrefix(std::move(entryPrefix)) {
}

LeaderFinder::~LeaderFinder() { *Alive = false; }

const std::string &LeaderFinder::address() const {
  static const std::string none;
  return Channel != nullptr ? Channel->address() : none;
}

endpoints::AsyncChannel *
LeaderFinder::target(const std::function<void()> &found) {
  if (Channel == nullptr || Misses >= MissesBeforeStore)
    askStore(found);
  return Channel.get();
}

void LeaderFinder::use(const std::string &address) {
  if (Channel == nullptr || Channel->address() != address)
    Channel = std::make_unique<endpoints::AsyncChannel>(Loop, address);
}

void LeaderFinder::next() {
  Leads = false;
  ++Misses;
  if (!Entries.empty())
    use(Entries[Next++ % Entries.size()]);
}

void LeaderFinder::answered(bool leads, const std::string &hint,
                            const std::vector<std::string> &entries) {
  if (!entries.empty())
    Entries = entries;
  if (leads) {
    Leads = true;
    Misses = 0;
    return;
  }
  if (!hint.empty() && hint != address()) {
    Leads = false;
    ++Misses;
    use(hint);
    return;
  }
  next();
}

void LeaderFinder::silent() { next(); }

void LeaderFinder::askStore(const std::function<void()> &found) {
  if (Asking)
    return;
  Asking = true;
  // A stale answer will do: an entry that has gone does not answer, and those
  // that do know the others.
  Calls.Range(EntryPrefix, "", platform::ReadMode::MaybeStale,
              [this, alive = Alive,
               found](const platform::StoreReply<platform::StorePage> &reply) {
                if (!*alive)
                  return;
                Misses = 0;
                if (reply.ok() && !reply.Value.Items.empty()) {
                  Entries.clear();
                  for (const platform::KeyValue &item : reply.Value.Items)
                    Entries.push_back(item.Value);
                  if (!Leads)
                    use(Entries[Next++ % Entries.size()]);
                }
                Loop.runAfter(Channel == nullptr ? AskAgain
                                                 : absl::ZeroDuration(),
                              [this, alive, found] {
                                if (!*alive)
                                  return;
                                Asking = false;
                                found();
                              });
              });
}

} // namespace oriolebay::agent
