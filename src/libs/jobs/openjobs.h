#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace oriolebay::jobs {

/// The jobs that submit calls of one entry may have stored, or may still store,
/// without the entry's knowledge. A caller sends such a job again; until it is
/// known not to be stored, that call must not be answered with "not done". All
/// times are on the boot clock.
class OpenJobs {
public:
  using Id = int64_t;

  /// Adds a call whose writes of the job can be done until this time. Drops the
  /// calls whose time is over at now.
  Id add(const std::string &job, absl::Time until, absl::Time now);
  /// The outcome of that call is known.
  void remove(Id id);
  /// Returns whether the job may be stored. Drops the calls whose time is over
  /// at now.
  bool contains(const std::string &job, absl::Time now);
  /// Number of calls.
  size_t count() const { return Calls.size(); }

private:
  struct Call {
    std::string Job;
    absl::Time Until;
  };

  void removeEnded(absl::Time now);

  Id LastId = 0;
  std::map<Id, Call> Calls;
  std::set<std::pair<absl::Time, Id>> Ends;
  std::map<std::string, int> CallsOfJob;
};

} // namespace oriolebay::jobs
