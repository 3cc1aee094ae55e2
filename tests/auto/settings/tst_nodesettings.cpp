#include "settings/nodesettings.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <ostream>

using namespace oriolebay;

namespace {

const char *const Good = R"({"name":"e1","failure_domain":"fd-a",
  "peers_listen":"127.0.0.1:7000","store_address":"127.0.0.1:2379"})";

/// Good with more keys.
std::string with(const std::string &more) {
  std::string text = Good;
  text.insert(text.rfind('}'), "," + more);
  return text;
}

struct BadCase {
  const char *Story;
  std::string Text;
  const char *MessagePart;
};

void PrintTo(const BadCase &c, std::ostream *out) { *out << c.Story; }

class NodeSettingsRejected : public testing::TestWithParam<BadCase> {};

TEST_P(NodeSettingsRejected, NamesTheSetting) {
  const BadCase &c = GetParam();
  const std::string message = utils::handle<std::string>(
      [&]() -> utils::Result<std::string> {
        BOOST_LEAF_CHECK(settings::parseNodeSettings(c.Text));
        return std::string("accepted");
      },
      [](const utils::Error &e) {
        EXPECT_EQ(e.Kind, utils::ErrorKind::BadSettings);
        EXPECT_FALSE(e.Remedy.empty());
        return e.Message;
      });
  EXPECT_NE(message.find(c.MessagePart), std::string::npos) << message;
}

INSTANTIATE_TEST_SUITE_P(
    Table, NodeSettingsRejected,
    testing::Values(
        BadCase{"no name", R"({"failure_domain":"f"})", "name"},
        BadCase{"no port", with(R"("callers_listen":"127.0.0.1")"),
                "callers_listen"},
        BadCase{"port out of range", with(R"("ready_listen":"1.2.3.4:70000")"),
                "ready_listen"},
        BadCase{"port is no number", with(R"("metrics_listen":"1.2.3.4:x1")"),
                "metrics_listen"},
        BadCase{"unknown key", with(R"("storeaddress":"1.2.3.4:1")"),
                "storeaddress"},
        BadCase{"unknown bound", with(R"("bounds":{"hold_ms":1})"),
                "bounds.hold_ms"},
        BadCase{"bounds are no object", with(R"("bounds":[1])"), "bounds"},
        BadCase{"no time at all", with(R"("bounds":{"stop_grace_ms":0})"),
                "bounds.stop_grace_ms"},
        BadCase{"no grace", with(R"("bounds":{"term_grace_s":-1})"),
                "bounds.term_grace_s"},
        BadCase{"no processor", with(R"("processor_share":0)"),
                "processor_share"},
        BadCase{"wrong type", with(R"("heartbeat_ms":"often")"),
                "heartbeat_ms"},
        BadCase{"holds shorter than two heartbeats",
                with(R"("heartbeat_ms":3000,"bounds":{"hold_max_ms":6000})"),
                "bounds.hold_max_ms"},
        BadCase{"remote work is faster",
                with(R"("bounds":{"remote_factor":0.5})"), "remote_factor"}),
    [](const auto &info) {
      return oriolebay::testnames::storyName(info.param.Story);
    });

struct SiteCase {
  const char *Name;
  int HeartbeatMs;
  settings::SiteBounds Bounds;
};

void PrintTo(const SiteCase &c, std::ostream *out) { *out << c.Name; }

settings::SiteBounds bounds(int holdMaxMs, int stopGraceMs, int configApplyMs,
                            int revokeMs, int leaseMs, int reclaimMs) {
  settings::SiteBounds b;
  b.HoldMaxMs = holdMaxMs;
  b.StopGraceMs = stopGraceMs;
  b.ConfigApplyMs = configApplyMs;
  b.RevokeMs = revokeMs;
  b.LeaseMs = leaseMs;
  b.ReclaimMs = reclaimMs;
  return b;
}

class TimingFollowsFromBounds : public testing::TestWithParam<SiteCase> {};

// Every timeout is derived, so that a site with other bounds keeps its promises
// too. What each has to satisfy, whatever the bounds are.
TEST_P(TimingFollowsFromBounds, KeepsEachBound) {
  settings::NodeSettings s;
  s.HeartbeatMs = GetParam().HeartbeatMs;
  s.Bounds = GetParam().Bounds;
  const settings::SiteBounds &b = s.Bounds;
  const settings::Timing t = settings::deriveTiming(s);
  // A hold to the end of a grant is never longer than the worker allows.
  EXPECT_LE(t.Grant, absl::Milliseconds(b.HoldMaxMs));
  // A grant outlives two lost reports.
  EXPECT_GE(t.Grant, 2 * t.ReportEvery);
  // Tasks count as ended only when they have, on a clock that is 2% slow.
  EXPECT_GE(t.GrantOverAfter, t.Grant * 1.02);
  // A replaced leader is gone before another may act on the same matter.
  EXPECT_LT(t.LeaderLease, absl::Milliseconds(b.LeaseMs));
  // A view that serves calls is confirmed again, with one answer lost, before
  // it is too old; and is refused well before a key must be.
  EXPECT_LE(2 * t.ConfirmEvery, t.OldestConfig);
  EXPECT_LE(t.OldestConfig, absl::Milliseconds(b.RevokeMs) / 2);
  EXPECT_LE(t.ConfirmEvery * 3, absl::Milliseconds(b.ConfigApplyMs));
  // A view that was confirmed in time counts as fresh. Where it did not, an
  // entry handed on calls that it could have served itself.
  EXPECT_GT(t.FreshConfig, t.ConfirmEvery);
  EXPECT_LT(t.FreshConfig, t.OldestConfig);
  // Room is made in time for the stop to end within the bound.
  EXPECT_LT(t.ReclaimAfter + absl::Milliseconds(b.StopGraceMs),
            absl::Milliseconds(b.ReclaimMs));
  EXPECT_LT(t.LeaveBy, absl::Milliseconds(b.TermGraceMs));
}

INSTANTIATE_TEST_SUITE_P(
    Table, TimingFollowsFromBounds,
    testing::Values(
        SiteCase{"Brno", 1500, bounds(6000, 900, 2000, 5000, 3000, 3400)},
        SiteCase{"Pennington", 1500, bounds(6000, 400, 2000, 5000, 3000, 2900)},
        SiteCase{"Grown", 1500, bounds(6000, 900, 3000, 5000, 3000, 3400)},
        SiteCase{"Large", 1500, bounds(10000, 900, 4000, 5000, 3000, 3400)},
        SiteCase{"QuickHeartbeat", 500,
                 bounds(4000, 300, 1000, 4000, 2000, 2000)},
        SiteCase{"Slow", 3000, bounds(20000, 2000, 5000, 10000, 6000, 6000)}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
