#include "entry/callforwarder.h"
#include "utils/eventloop.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <vector>

namespace oriolebay::entry {
namespace {

using endpoints::PeerReply;

constexpr size_t QueueCapacity = 16;
constexpr int64_t TimeLeftMs = 2000;

endpoints::ForwardedAnswer makeAnswer() { return {}; }

struct ReplyCase {
  const char *Name;
  /// How the calls to the other entries end, in order.
  std::vector<PeerReply> Replies;
  bool IsAnswered;
  bool PossiblyExecuted;
};

void PrintTo(const ReplyCase &c, std::ostream *out) { *out << c.Name; }

const PeerReply NotSent{std::nullopt, true};
const PeerReply Unanswered{std::nullopt, false};
const PeerReply Refused{endpoints::Ack{false, "this entry has stopped"}};
const PeerReply Answered{makeAnswer()};

class ForwardedCalls : public testing::TestWithParam<ReplyCase> {};

// Guards against an open answer for a call that certainly nobody has executed,
// and against a refusal of one that somebody may have executed.
TEST_P(ForwardedCalls, ArePossiblyExecutedOnlyIfAnEntryMayHaveReadThem) {
  utils::EventLoop loop(QueueCapacity, utils::EventLoop::Time::Manual);
  std::deque<PeerReply> replies(GetParam().Replies.begin(),
                                GetParam().Replies.end());
  endpoints::Peers peers;
  peers.Call = [&](const std::string &, const endpoints::Message &, int,
                   const endpoints::Peers::Done &done) {
    const PeerReply reply = replies.front();
    replies.pop_front();
    done(reply);
  };
  CallForwarder forwarder(loop, peers, [&] {
    return std::vector<std::string>(GetParam().Replies.size(), "peer");
  });
  endpoints::ForwardedCall call;
  call.TimeLeftMs = TimeLeftMs;
  std::optional<bool> answered;
  std::optional<bool> executed;
  EXPECT_TRUE(forwarder.forward(
      call, [&](const std::optional<endpoints::ForwardedAnswer> &answer,
                bool possiblyExecuted) {
        answered = answer.has_value();
        executed = possiblyExecuted;
      }));
  EXPECT_EQ(answered, GetParam().IsAnswered);
  EXPECT_EQ(executed, GetParam().PossiblyExecuted);
}

const ReplyCase ReplyCases[] = {
    {"NotSent", {NotSent}, false, false},
    {"NeverSent", {NotSent, NotSent}, false, false},
    {"RefusedByAStoppedEntry", {Refused}, false, false},
    {"Unanswered", {Unanswered}, false, true},
    {"UnansweredThenNotSent", {Unanswered, NotSent}, false, true},
    {"NotSentThenUnanswered", {NotSent, Unanswered}, false, true},
    {"UnansweredThenRefused", {Unanswered, Refused}, false, true},
    {"Answered", {Answered}, true, false},
    {"NotSentThenAnswered", {NotSent, Answered}, true, false},
    {"RefusedThenAnswered", {Refused, Answered}, true, false},
    {"UnansweredThenAnswered", {Unanswered, Answered}, true, true},
};

INSTANTIATE_TEST_SUITE_P(Table, ForwardedCalls, testing::ValuesIn(ReplyCases),
                         [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::entry
