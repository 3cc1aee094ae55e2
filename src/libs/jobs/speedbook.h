#pragma once

#include "endpoints/messages.h"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <string>

namespace oriolebay::jobs {

/// How speeds are learned.
struct SpeedPolicy {
  /// Ends that count as if the worker had been seen at the usual speed: tasks
  /// of one step differ among themselves, so that one end says little.
  double UsualBefore = 2;
  /// No more ends than this weigh against a new one, so that a worker that has
  /// turned slow, or sound again, shows within as many.
  double MostEnds = 12;
  /// A worker is slow from so many times the usual time on.
  double SlowFrom = 1.12;
  /// Ends of a step that a new one is compared with.
  size_t MostCompared = 16;
};

/// Learns how fast workers are, by comparing tasks of one step that ran on
/// different workers: what callers estimate is off by far more than workers
/// differ. A worker is named by the agent beside it, as its speed stays with
/// the host.
class SpeedBook {
public:
  explicit SpeedBook(SpeedPolicy policy = {}) : Policy(policy) {}

  /// A task of that step takes so long at the worker, in one run.
  void took(const std::string &step, const std::string &worker,
            absl::Duration whole);
  /// What an earlier leader had learned; ignored where this one knows more.
  void recall(const std::string &worker, const endpoints::LearnedSpeed &speed);
  endpoints::LearnedSpeed learned(const std::string &worker) const;
  /// No task of the step will end any more.
  void forget(const std::string &step);

  /// How many times as long as on the middle one of the known workers work
  /// takes there; 1 while too little is known.
  double slowness(const std::string &worker) const;
  bool isSlow(const std::string &worker) const {
    return slowness(worker) >= Policy.SlowFrom;
  }

private:
  using Learned = endpoints::LearnedSpeed;
  struct End {
    std::string Worker;
    double LogTook = 0;
  };

  double weightOfNext(const Learned &worker) const;
  double usual() const;

  const SpeedPolicy Policy;
  std::map<std::string, Learned> Workers;
  std::map<std::string, std::deque<End>> Steps;
  /// The middle one of all workers; worked out when it is asked for.
  mutable bool UsualKnown = false;
  mutable double Usual = 0;
};

} // namespace oriolebay::jobs
