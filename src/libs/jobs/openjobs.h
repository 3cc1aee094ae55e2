#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace oriolebay::jobs {

/// The jobs that submit calls of one entry may have stored, or may still store,
/// without the entry's knowledge. A caller sends such a job again; until it is
/// known not to be stored, that call must not be answered with "not done". All
/// times are on the boot clock.
class OpenJobs {
public:
  using Id = int64_t;

  /// Adds a write of the job that may be stored, or may still be done until
  /// this time, which must not be earlier than that of any write before.
  Id add(const std::string &job, absl::Time until);
  /// The outcome of that write is known.
  void remove(Id id);
  /// Returns whether a write of the job may be stored. Drops those that have
  /// ended by now.
  bool contains(const std::string &job, absl::Time now);

private:
  struct Write {
    std::string Job;
    absl::Time Until;
  };

  Id LastId = 0;
  /// In the order of their ends.
  std::map<Id, Write> Writes;
  std::map<std::string, int> WritesOfJob;
};

} // namespace oriolebay::jobs
