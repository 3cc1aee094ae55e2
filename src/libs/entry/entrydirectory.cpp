#include "entrydirectory.h"

#include <algorithm>

namespace oriolebay::entry {

utils::Result<void> EntryDirectory::apply(const platform::StoreEvent &event,
                                          absl::Time now) {
  dropRemoved(now);
  const std::string &key = event.Item.Key;
  if (event.Deleted) {
    auto it = Entries.find(key);
    if (it != Entries.end())
      it->second.RemovedAt = std::min(it->second.RemovedAt, now);
    return {};
  }
  BOOST_LEAF_AUTO(record, platform::decodeEntry(event.Item));
  if (!CheckAddress(record.Address))
    return utils::fail(utils::ErrorKind::BadMessage,
                       "the address of the entry cannot be used",
                       "remove the key if no entry has written it");
  Entries[key] = {std::move(record)};
  return {};
}

std::vector<std::string> EntryDirectory::addresses() const {
  std::vector<std::string> all;
  for (const auto &[key, entry] : Entries)
    if (entry.RemovedAt == absl::InfiniteFuture())
      all.push_back(entry.Record.Address);
  return all;
}

size_t EntryDirectory::count() const {
  return static_cast<size_t>(
      std::count_if(Entries.begin(), Entries.end(), [](const auto &entry) {
        return entry.second.RemovedAt == absl::InfiniteFuture();
      }));
}

int64_t EntryDirectory::smallestMemoryMb() const {
  int64_t smallest = 0;
  for (const auto &[key, entry] : Entries) {
    const int64_t mb = entry.Record.MemoryMb;
    if (entry.RemovedAt == absl::InfiniteFuture() && mb > 0)
      smallest = smallest == 0 ? mb : std::min(smallest, mb);
  }
  return smallest;
}

bool EntryDirectory::isLargerKnown(double processorShare,
                                   absl::Time now) const {
  return std::any_of(Entries.begin(), Entries.end(), [&](const auto &entry) {
    return entry.second.Record.ProcessorShare > processorShare &&
           now < entry.second.RemovedAt + RemovedRetention;
  });
}

void EntryDirectory::dropRemoved(absl::Time now) {
  std::erase_if(Entries, [now](const auto &entry) {
    return entry.second.RemovedAt + RemovedRetention <= now;
  });
}

} // namespace oriolebay::entry
