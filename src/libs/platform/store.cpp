#include "store.h"

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

} // namespace oriolebay::platform
