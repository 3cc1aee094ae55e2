#include "eventlog/eventlog.h"
#include "http/httpclient.h"
#include "http/rawconnection.h"
#include "metrics/metricsserver.h"
#include "metrics/requestguards.h"
#include "utils/eventloop.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace oriolebay::metrics {
namespace {

struct TextCase {
  const char *Name;
  std::function<void(ProcessMetrics &)> Record;
  std::vector<std::string> Lines;
};

void PrintTo(const TextCase &c, std::ostream *out) { *out << c.Name; }

class MetricsText : public ::testing::TestWithParam<TextCase> {};

TEST_P(MetricsText, ContainsTheExpectedLines) {
  ProcessMetrics metrics;
  GetParam().Record(metrics);
  const std::string text = metrics.text();
  for (const std::string &line : GetParam().Lines)
    EXPECT_NE(text.find(line + "\n"), std::string::npos) << line << "\n"
                                                         << text;
}

const TextCase TextCases[] = {
    {"calls",
     [](ProcessMetrics &m) {
       m.recordCall("submit", "ok", absl::Milliseconds(20));
       m.recordCall("submit", "ok", absl::Milliseconds(70));
       m.recordCall("submit", "not_done", absl::Seconds(2));
     },
     {R"(oriolebay_calls_total{call="submit",result="ok"} 2)",
      R"(oriolebay_calls_total{call="submit",result="not_done"} 1)",
      R"(oriolebay_call_duration_seconds_count{call="submit"} 3)",
      R"(oriolebay_call_duration_seconds_bucket{call="submit",le="0.025"} 1)",
      R"(oriolebay_call_duration_seconds_bucket{call="submit",le="1"} 2)"}},
    {"store",
     [](ProcessMetrics &m) {
       m.recordStoreCall("get", "unknown", absl::Milliseconds(700));
     },
     {R"(oriolebay_store_calls_total{call="get",status="unknown"} 1)",
      R"(oriolebay_store_call_duration_seconds_bucket{call="get",le="0.5"} 0)",
      R"(oriolebay_store_call_duration_seconds_bucket{call="get",le="1"} 1)"}},
    {"jobs",
     [](ProcessMetrics &m) {
       m.recordRunPlaced(1, absl::Milliseconds(300));
       m.recordJobEnded("completed", 0, absl::Seconds(3));
     },
     {R"(oriolebay_placement_wait_seconds_bucket{rank="1",le="0.25"} 0)",
      R"(oriolebay_placement_wait_seconds_bucket{rank="1",le="0.5"} 1)",
      R"(oriolebay_job_duration_seconds_count{priority="0",state="completed"} 1)"}},
    {"orders",
     [](ProcessMetrics &m) { m.recordOrderOutcome("started"); },
     {R"(oriolebay_orders_total{outcome="started"} 1)"}},
    {"gauges_hold_the_last_value",
     [](ProcessMetrics &m) {
       m.set("leader", "1 while this entry leads.", 1);
       m.set("leader", "1 while this entry leads.", 0);
     },
     {"# TYPE oriolebay_leader gauge", "oriolebay_leader 0"}},
    {"gauges_with_labels",
     [](ProcessMetrics &m) {
       m.set("waiting_steps", "Steps that wait.", 2, {{"reason", "reserved"}});
       m.set("waiting_steps", "Steps that wait.", 1, {{"reason", "silent"}});
     },
     {R"(oriolebay_waiting_steps{reason="reserved"} 2)",
      R"(oriolebay_waiting_steps{reason="silent"} 1)"}},
    {"long_waits",
     [](ProcessMetrics &m) {
       m.recordLongWaits(1);
       m.recordLongWaits(3);
     },
     {"oriolebay_long_waits_total 4"}},
    {"lines_left_out",
     [](ProcessMetrics &) {},
     {"oriolebay_log_lines_left_out_total 0"}},
};

INSTANTIATE_TEST_SUITE_P(Table, MetricsText, ::testing::ValuesIn(TextCases),
                         [](const auto &info) { return info.param.Name; });

class MetricsServing : public ::testing::Test {
protected:
  void SetUp() override {
    Runner = std::thread([this] { Loop.run(); });
  }
  void TearDown() override {
    Loop.stop();
    Runner.join();
  }
  static http::HttpResult get(int port, const std::string &path) {
    const std::string url = "http://127.0.0.1:" + std::to_string(port) + path;
    return http::HttpClient(2000).call("GET", url, "");
  }

  utils::EventLoop Loop{64};
  ProcessMetrics Metrics;
  std::thread Runner;
};

TEST_F(MetricsServing, GaugesAreUpdatedForEveryRequest) {
  int requests = 0;
  MetricsServer server(
      Loop, Metrics,
      [&requests](ProcessMetrics &m) {
        m.set("asked", "Number of requests.", ++requests);
      },
      "127.0.0.1", 0);
  ASSERT_GT(server.port(), 0);
  EXPECT_NE(get(server.port(), "/metrics").Body.find("oriolebay_asked 1"),
            std::string::npos);
  EXPECT_NE(get(server.port(), "/metrics").Body.find("oriolebay_asked 2"),
            std::string::npos);
  EXPECT_EQ(get(server.port(), "/other").Status, 404);
}

struct RefusalCase {
  const char *Name;
  http::RefusalReason Reason;
  const char *Label;
};

void PrintTo(const RefusalCase &c, std::ostream *out) { *out << c.Name; }

class RefusedRequests : public testing::TestWithParam<RefusalCase> {};

// Guards against clients that are refused without a trace in the metrics.
TEST_P(RefusedRequests, AreCountedByServerAndReason) {
  ProcessMetrics metrics;
  const RequestGuards guards(128, metrics);
  const auto logged = [] {
    return eventlog::eventCounts()[eventlog::Event::RequestRefused];
  };
  ASSERT_TRUE(eventlog::initEventLog(
      "metrics", testing::TempDir() + "refused_" + GetParam().Label));
  const int64_t loggedBefore = logged();
  guards.of("callers").OnRefused({GetParam().Reason, 5});
  guards.of("callers").OnRefused({GetParam().Reason, 5});
  const std::string counter =
      std::string("oriolebay_requests_refused_total{reason=\"") +
      GetParam().Label + "\",server=\"callers\"} 2";
  EXPECT_NE(metrics.text().find(counter), std::string::npos) << metrics.text();
  EXPECT_EQ(logged(), loggedBefore + 2);
  eventlog::closeEventLog();
}

INSTANTIATE_TEST_SUITE_P(
    Table, RefusedRequests,
    testing::Values(
        RefusalCase{"too_large", http::RefusalReason::TooLarge, "too_large"},
        RefusalCase{"no_room", http::RefusalReason::NoRoom, "no_room"},
        RefusalCase{"too_slow", http::RefusalReason::TooSlow, "too_slow"},
        RefusalCase{"place_given_up", http::RefusalReason::PlaceGivenUp,
                    "place_given_up"}),
    [](const auto &info) { return info.param.Name; });

struct MemoryCase {
  const char *Name;
  int MemoryMb;
  size_t BudgetBytes;
};

void PrintTo(const MemoryCase &c, std::ostream *out) { *out << c.Name; }

class RequestBudgets : public testing::TestWithParam<MemoryCase> {};

// Guards against a budget that leaves no memory for the program itself, or none
// for its callers.
TEST_P(RequestBudgets, AreAQuarterOfTheHostsMemoryForAllServers) {
  ProcessMetrics metrics;
  const RequestGuards guards(GetParam().MemoryMb, metrics);
  const auto budget = guards.of("callers").Budget;
  EXPECT_EQ(budget->totalBytes(), GetParam().BudgetBytes);
  EXPECT_EQ(guards.of("ready").Budget, budget);
  utils::MemoryReservation held(budget);
  ASSERT_TRUE(held.tryGrow(1000));
  guards.refresh();
  const std::string text = metrics.text();
  EXPECT_NE(text.find("oriolebay_request_memory_used_bytes 1000\n"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("oriolebay_request_memory_limit_bytes " +
                      std::to_string(GetParam().BudgetBytes)),
            std::string::npos)
      << text;
}

INSTANTIATE_TEST_SUITE_P(Table, RequestBudgets,
                         testing::Values(MemoryCase{"agent", 128, 32000000},
                                         MemoryCase{"entry", 512, 128000000}),
                         [](const auto &info) { return info.param.Name; });

// Guards against bodies that are kept for a request that has none.
TEST_F(MetricsServing, TakesNoBody) {
  MetricsServer server(
      Loop, Metrics, [](ProcessMetrics &) {}, "127.0.0.1", 0);
  testpeers::RawConnection connection(server.port());
  connection.send("GET /metrics HTTP/1.1\r\nHost: h\r\n"
                  "Content-Length: 1\r\n\r\n");
  EXPECT_TRUE(connection.receiveUntil("HTTP/1.1 413"));
}

// Guards against an entry that does not start because another process uses the
// address of its metrics: callers lost an entry only because its metrics could
// not be served.
TEST_F(MetricsServing, AddressInUseDoesNotPreventTheStart) {
  auto noGauges = [](ProcessMetrics &) {};
  MetricsServer first(Loop, Metrics, noGauges, "127.0.0.1", 0);
  MetricsServer second(Loop, Metrics, noGauges, "127.0.0.1", first.port());
  EXPECT_EQ(second.port(), 0);
  EXPECT_EQ(get(first.port(), "/metrics").Status, 200);
}

} // namespace
} // namespace oriolebay::metrics
