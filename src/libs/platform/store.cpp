#include "store.h"

#include <algorithm>

namespace oriolebay::platform {

const char *storeStatusName(StoreStatus status) {
  switch (status) {
  case StoreStatus::Ok:
    return "ok";
  case StoreStatus::NotFound:
    return "not_found";
  case StoreStatus::Conflict:
    return "conflict";
  case StoreStatus::Compacted:
    return "compacted";
  case StoreStatus::Refused:
    return "refused";
  case StoreStatus::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string lastKey(const StorePage &page) {
  if (!page.Items.empty())
    return page.Items.back().Key;
  const auto it =
      std::max_element(page.UnreadableKeys.begin(), page.UnreadableKeys.end());
  return it == page.UnreadableKeys.end() ? "" : *it;
}

const KeyValue *findItem(const std::vector<KeyValue> &items,
                         const std::string &key) {
  auto it = std::find_if(items.begin(), items.end(),
                         [&](const KeyValue &i) { return i.Key == key; });
  return it == items.end() ? nullptr : &*it;
}

} // namespace oriolebay::platform
