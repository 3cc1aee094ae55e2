#pragma once

#include "absl/time/time.h"

#include <cstdarg>
#include <mutex>

namespace oriolebay::http {

/// Writes the messages of libmicrohttpd to standard error, but not more often
/// than LogInterval, as a client can cause one with each of its requests. Safe
/// for use by several threads.
class LibraryLog {
public:
  static constexpr absl::Duration LogInterval = absl::Seconds(1);

  /// For MHD_OPTION_EXTERNAL_LOGGER with a LibraryLog as its argument.
  static void write(void *log, const char *format, va_list args);

private:
  bool mayWrite();

  std::mutex Mu;
  absl::Time LastWrite = absl::InfinitePast();
};

} // namespace oriolebay::http
