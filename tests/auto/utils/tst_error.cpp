#include "utils/activity.h"
#include "utils/error.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace oriolebay::utils {
namespace {

Result<int> failWith(const std::string &message) {
  return fail(ErrorKind::Transport, message, "none");
}

std::string handledText(const std::function<Result<int>()> &body) {
  return handle<std::string>(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(n, body());
        return std::to_string(n);
      },
      [](const Error &e) { return e.Message; });
}

TEST(Handle, ReturnsTheValueOrWhatTheErrorIsConvertedTo) {
  EXPECT_EQ(handledText([]() -> Result<int> { return 7; }), "7");
  EXPECT_EQ(handledText([] { return failWith("broken"); }), "broken");
}

TEST(Handle, NestedCallsConvertTheirOwnErrors) {
  const auto body = [] {
    EXPECT_EQ(handledText([] { return failWith("inner"); }), "inner");
    return failWith("outer");
  };
  EXPECT_EQ(handledText(body), "outer");
}

// Guards against an exception that is reported as an earlier, unrelated error.
TEST(Handle, PassesExceptionsOnWithTheirOwnText) {
  const auto body = []() -> Result<int> {
    const Result<int> unused = failWith("no answer from a peer");
    EXPECT_FALSE(unused);
    throw std::runtime_error("the cause");
  };
  try {
    handledText(body);
    ADD_FAILURE() << "the exception was not passed on";
  } catch (const std::runtime_error &e) {
    EXPECT_STREQ(e.what(), "the cause");
  }
}

Failure failureOf(const std::function<void()> &work) {
  try {
    work();
  } catch (...) {
    return describeFailure();
  }
  return {};
}

// Guards against the end of a process whose cause nobody can find.
TEST(Failures, NameTheExceptionAndTheInnermostActivity) {
  const Failure failure = failureOf([] {
    const ActivityScope outer("message of a peer", "worker_report");
    const ActivityScope inner("call", "POST /p/\xff");
    throw std::out_of_range("no such job");
  });
  EXPECT_EQ(failure,
            (Failure{"std::out_of_range", "no such job", "call", "POST /p/?"}));
}

TEST(Failures, OfLaterWorkAreNotAttributedToEarlierWork) {
  failureOf([] {
    const ActivityScope activity("call", "POST /p/1");
    throw std::runtime_error("first");
  });
  const Failure failure = failureOf([] { throw std::runtime_error("second"); });
  EXPECT_EQ(failure, (Failure{"std::runtime_error", "second", "", ""}));
}

TEST(Failures, OfUnknownTypesAreDescribedToo) {
  EXPECT_EQ(failureOf([] { throw 42; }).Type, "unknown");
}

} // namespace
} // namespace oriolebay::utils
