#include "callanswer.h"

#include <algorithm>

namespace oriolebay::jobs {

const char *callResultName(CallResult result) {
  switch (result) {
  case CallResult::Ok:
    return "ok";
  case CallResult::Invalid:
    return "invalid";
  case CallResult::UnknownQueue:
    return "unknown_queue";
  case CallResult::BadKey:
    return "bad_key";
  case CallResult::UnknownJob:
    return "unknown_job";
  case CallResult::IdTaken:
    return "id_taken";
  case CallResult::NotDone:
    return "not_done";
  case CallResult::Open:
    return "open";
  case CallResult::NoRoom:
    return "no_room";
  }
  return "unknown";
}

int64_t loggedAgeMs(absl::Duration age) {
  constexpr absl::Duration MaxAge = absl::Hours(1);
  return absl::ToInt64Milliseconds(std::min(age, MaxAge));
}

} // namespace oriolebay::jobs
