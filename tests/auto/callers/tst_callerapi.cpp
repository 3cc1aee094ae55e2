#include "callers/callerapi.h"
#include "core/codec.h"
#include "http/httpclient.h"
#include "http/rawconnection.h"
#include "testnames.h"

#include <gtest/gtest.h>

using namespace oriolebay;
using callers::CallerApi;
using core::JobAnswer;
using core::NotRunReason;
using core::Outcome;
using nlohmann::json;

namespace {

json validJob() {
  core::JobRequest job;
  job.Id = "j";
  job.Organisation = "stores-east";
  job.Profile = "texas";
  return json(job);
}

json validJobWith(const char *key, const json &value) {
  json job = validJob();
  job[key] = value;
  return job;
}

struct CallCase {
  const char *Description;
  const char *Method;
  const char *Path;
  std::string Body;
  JobAnswer Answer;
  bool HasLeader;
  int Status;
};

class CallerContract : public testing::TestWithParam<CallCase> {};

// The HTTP status must tell the caller whether its request is invalid, whether
// its job has run, and whether to retry.
TEST_P(CallerContract, StatusTellsTheCallerHowToProceed) {
  const CallCase &c = GetParam();
  int submissions = 0;
  CallerApi api(
      "127.0.0.1", 0, 8,
      [&](const core::JobRequest &) {
        ++submissions;
        return c.Answer;
      },
      [&](const std::string &, const std::string &) {
        return c.HasLeader ? CallerApi::CancelResult::Accepted
                           : CallerApi::CancelResult::NotAccepted;
      },
      [] { return json::object(); });
  http::HttpClient client(5000);
  auto res = client.call(
      c.Method, "http://127.0.0.1:" + std::to_string(api.port()) + c.Path,
      c.Body);
  EXPECT_EQ(res.Status, c.Status) << c.Description << ": " << res.Body;
  // An invalid request must not reach the scheduler.
  if (c.Status == 400 || c.Status == 404) {
    EXPECT_EQ(submissions, 0);
  }
}

JobAnswer notRun(NotRunReason reason, int64_t retryAfterMs) {
  return {"j", Outcome::NotRun, reason, "why", retryAfterMs, {}};
}
JobAnswer ended(Outcome outcome) {
  return {"j", outcome, NotRunReason::None, "", 0, {}};
}

INSTANTIATE_TEST_SUITE_P(
    Table, CallerContract,
    testing::Values(
        CallCase{"done", "POST", "/v1/jobs", validJob().dump(),
                 ended(Outcome::Done), true, 200},
        CallCase{"failed", "POST", "/v1/jobs", validJob().dump(),
                 ended(Outcome::Failed), true, 200},
        CallCase{"in progress", "POST", "/v1/jobs", validJob().dump(),
                 ended(Outcome::InProgress), true, 202},
        CallCase{"retry later", "POST", "/v1/jobs", validJob().dump(),
                 notRun(NotRunReason::NoCapacity, 1000), true, 503},
        CallCase{"never fits", "POST", "/v1/jobs", validJob().dump(),
                 notRun(NotRunReason::CanNeverFit, 0), true, 422},
        CallCase{"not JSON", "POST", "/v1/jobs", "{", {}, true, 400},
        CallCase{"a field is missing", "POST", "/v1/jobs", "{}", {}, true, 400},
        CallCase{"a field has the wrong type",
                 "POST",
                 "/v1/jobs",
                 validJobWith("shape", "big").dump(),
                 {},
                 true,
                 400},
        CallCase{"non idempotent without a key",
                 "POST",
                 "/v1/jobs",
                 validJobWith("idempotent", false).dump(),
                 {},
                 true,
                 400},
        CallCase{"a byte that is not UTF-8",
                 "POST",
                 "/v1/jobs",
                 "\xff",
                 {},
                 true,
                 400},
        CallCase{"very deep",
                 "POST",
                 "/v1/jobs",
                 R"({"id":)" + std::string(400000, '[') +
                     std::string(400000, ']') + "}",
                 {},
                 true,
                 400},
        CallCase{"very many values",
                 "POST",
                 "/v1/jobs",
                 validJobWith("more", std::vector<int>(50000, 0)).dump(),
                 {},
                 true,
                 400},
        CallCase{"no members",
                 "POST",
                 "/v1/jobs",
                 validJobWith("shape", {{"members", 0},
                                        {"accelerators_per_member", 1},
                                        {"power_watts_per_member", 1}})
                     .dump(),
                 {},
                 true,
                 400},
        CallCase{
            "cancelled", "DELETE", "/v1/jobs/stores-east/j", "", {}, true, 202},
        CallCase{"cancel without a leader",
                 "DELETE",
                 "/v1/jobs/stores-east/j",
                 "",
                 {},
                 false,
                 503},
        CallCase{"cancel without an id",
                 "DELETE",
                 "/v1/jobs/stores-east",
                 "",
                 {},
                 true,
                 400},
        CallCase{"unknown path", "GET", "/v2/jobs", "", {}, true, 404}),
    [](const auto &info) {
      return testnames::testNameFrom(info.param.Description);
    });

// Guards against unfinished requests that together fill the memory of an entry.
TEST(UnfinishedRequests, OfAllCallersTogetherHaveALimit) {
  constexpr int Callers = 64;
  CallerApi api(
      "127.0.0.1", 0, 2 * Callers,
      [](const core::JobRequest &) { return ended(Outcome::Done); },
      [](const std::string &, const std::string &) {
        return CallerApi::CancelResult::Accepted;
      },
      [] { return json::object(); });
  std::vector<testpeers::RawConnection> callers;
  callers.reserve(Callers);
  for (int i = 0; i < Callers; ++i) {
    callers.emplace_back(api.port());
    callers.back().send("POST /v1/jobs HTTP/1.1\r\nHost: h\r\n"
                        "Content-Length: 1000000\r\n\r\n{");
  }
  EXPECT_TRUE(callers.back().receiveUntil("HTTP/1.1 503"));
  const auto ordinary = http::HttpClient(20000).call(
      "POST", "http://127.0.0.1:" + std::to_string(api.port()) + "/v1/jobs",
      validJob().dump());
  EXPECT_EQ(ordinary.Status, 200);
}

// Guards against a cancellation that reads as refused although the leader may
// have accepted it.
TEST(Cancellation, IsOpenIfTheLeaderDidNotAnswer) {
  CallerApi api(
      "127.0.0.1", 0, 8, [](const core::JobRequest &) { return JobAnswer(); },
      [](const std::string &, const std::string &) {
        return CallerApi::CancelResult::Unknown;
      },
      [] { return json::object(); });
  http::HttpClient client(5000);
  const auto res =
      client.call("DELETE",
                  "http://127.0.0.1:" + std::to_string(api.port()) +
                      "/v1/jobs/stores-east/j",
                  "");
  EXPECT_EQ(res.Status, 504) << res.Body;
}

} // namespace
