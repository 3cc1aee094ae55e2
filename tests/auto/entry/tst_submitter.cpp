#include "endpoints/unresponsivepeer.h"
#include "entry/submitter.h"
#include "waituntil.h"

#include <gtest/gtest.h>

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <future>
#include <optional>
#include <vector>

namespace oriolebay::entry {
namespace {

using core::NotRunReason;
using core::Outcome;

constexpr absl::Duration NoLeaderTimeout = absl::Minutes(1);
constexpr int64_t RetryAfterMs = 500;

/// What a leader does with the gang that is submitted to it.
enum class Reception { Accepts, Refuses };

struct LeadersCase {
  const char *Name;
  /// One leader after the other; the last one answers "not run".
  std::vector<Reception> Leaders;
  Outcome Result;
};

void PrintTo(const LeadersCase &c, std::ostream *out) { *out << c.Name; }

class SubmittedGang : public testing::TestWithParam<LeadersCase> {
protected:
  SubmittedGang()
      : Callers("entry", 1, "tcp://127.0.0.1:1", NoLeaderTimeout, RetryAfterMs,
                [this](const endpoints::Message &m) { return receive(m); }) {}

  bool receive(const endpoints::Message &message) {
    absl::MutexLock lock(&Mu);
    GangId = std::get<endpoints::Submit>(message).GangId;
    ++Received;
    return Current == Reception::Accepts;
  }

  // The next leader takes over, and the gang is submitted to it. The leader
  // refuses it at first: the first submission may have been meant for the
  // leader before it, the second one is not.
  void lead(Reception reception) {
    receiveAtLeast(0, Reception::Refuses);
    Callers.onLeadership({++Epoch, "", true});
    receiveAtLeast(2, Reception::Refuses);
    if (reception == Reception::Accepts)
      receiveAtLeast(1, Reception::Accepts);
  }

  void receiveAtLeast(int count, Reception reception) {
    {
      absl::MutexLock lock(&Mu);
      Current = reception;
      Received = 0;
    }
    testwaits::waitUntil([&] {
      absl::MutexLock lock(&Mu);
      return Received >= count;
    });
  }

  absl::Mutex Mu;
  Reception Current = Reception::Refuses;
  int Received = 0;
  int64_t Epoch = 0;
  std::string GangId;
  Submitter Callers;
};

// Guards against the answer "not run" to a gang that an earlier leader may have
// run: the leader that gives the answer does not know of that.
TEST_P(SubmittedGang, IsAnsweredForAllLeadersThatMayHaveRunIt) {
  auto answer = std::async(std::launch::async, [this] {
    core::JobRequest job;
    job.Id = "job";
    return Callers.submit(job);
  });
  for (const Reception reception : GetParam().Leaders)
    lead(reception);
  Callers.handleAnswer({GangId, core::notRun("job", NotRunReason::NoCapacity,
                                             "full", RetryAfterMs)});
  const core::JobAnswer received = answer.get();
  EXPECT_EQ(received.Result, GetParam().Result);
  EXPECT_EQ(received.RetryAfterMs, RetryAfterMs);
}

const LeadersCase LeadersCases[] = {
    {"OneAccepts", {Reception::Accepts}, Outcome::NotRun},
    {"FirstRefuses", {Reception::Refuses, Reception::Accepts}, Outcome::NotRun},
    {"BothAccept", {Reception::Accepts, Reception::Accepts}, Outcome::Failed},
};

INSTANTIATE_TEST_SUITE_P(Table, SubmittedGang, testing::ValuesIn(LeadersCases),
                         [](const auto &info) { return info.param.Name; });

/// Ends the submissions of a submitter when a test leaves its scope.
class ShutDownAtExit {
public:
  explicit ShutDownAtExit(Submitter &callers) : Callers(callers) {}
  ~ShutDownAtExit() { Callers.shutDown(); }
  ShutDownAtExit(const ShutDownAtExit &) = delete;
  ShutDownAtExit &operator=(const ShutDownAtExit &) = delete;

private:
  Submitter &Callers;
};

// Guards against a caller that waits without end for a gang that its leader
// cannot have received: that leader is gone, and no other is elected.
TEST(Submitter, RefusesAGangThatItsLeaderCannotHaveReceived) {
  endpoints::UnresponsivePeer leader;
  Submitter callers("entry", 1, "tcp://127.0.0.1:1", absl::ZeroDuration(),
                    RetryAfterMs,
                    [](const endpoints::Message &) { return false; });
  callers.onLeadership({1, leader.address(), false});
  auto answer = std::async(std::launch::async, [&] {
    core::JobRequest job;
    job.Id = "job";
    return callers.submit(job);
  });
  const ShutDownAtExit shutDown(callers);
  testwaits::waitUntil([&] {
    return answer.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  });
  const core::JobAnswer received = answer.get();
  EXPECT_EQ(received.Result, Outcome::NotRun);
  EXPECT_EQ(received.Reason, NotRunReason::StoreUnavailable);
}

// Guards against a cancellation that reads as refused although the leader has
// read it.
TEST(Submitter, LeavesACancellationOpenThatALeaderDidNotAnswer) {
  std::promise<void> released;
  endpoints::ReplyServer leader(
      "tcp://127.0.0.1:0",
      [end = released.get_future().share()](const endpoints::Message &) {
        end.wait();
        return endpoints::Ack{};
      });
  Submitter callers("entry", 1, "tcp://127.0.0.1:1", NoLeaderTimeout,
                    RetryAfterMs,
                    [](const endpoints::Message &) { return false; });
  EXPECT_EQ(callers.cancel({"org", "job"}), Submitter::Delivery::NotAccepted);
  callers.onLeadership({1, leader.address(), false});
  EXPECT_EQ(callers.cancel({"org", "job"}), Submitter::Delivery::Unknown);
  released.set_value();
}

} // namespace
} // namespace oriolebay::entry
