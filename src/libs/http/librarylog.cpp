#include "librarylog.h"

#include "utils/steadyclock.h"

#include <cstdio>

namespace oriolebay::http {

void LibraryLog::write(void *log, const char *format, va_list args) {
  if (static_cast<LibraryLog *>(log)->mayWrite())
    std::vfprintf(stderr, format, args);
}

bool LibraryLog::mayWrite() {
  const absl::Time now = utils::steadyNow();
  std::lock_guard<std::mutex> lock(Mu);
  if (now - LastWrite < LogInterval)
    return false;
  LastWrite = now;
  return true;
}

} // namespace oriolebay::http
