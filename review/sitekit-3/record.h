#pragma once

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace sitekit {

/// Milliseconds since the start of this process, on the steady clock.
int64_t nowMs();
void sleepMs(int64_t ms);

/// The file with what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &path);
  void write(const std::string &text);

private:
  std::mutex Mu;
  FILE *File;
};

} // namespace sitekit
