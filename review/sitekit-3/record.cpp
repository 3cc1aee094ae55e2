#include "record.h"

#include <chrono>
#include <stdexcept>
#include <thread>

namespace sitekit {

int64_t nowMs() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               start)
      .count();
}

void sleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string &path) : File(fopen(path.c_str(), "w")) {
  if (File == nullptr)
    throw std::runtime_error("cannot write " + path);
  nowMs();
}

void Record::write(const std::string &text) {
  std::lock_guard<std::mutex> lock(Mu);
  fprintf(File, "%8.3f %s\n", static_cast<double>(nowMs()) / 1000,
          text.c_str());
  fflush(File);
}

} // namespace sitekit
