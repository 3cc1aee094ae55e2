#include "settings/nodesettings.h"
#include "testnames.h"

#include <gtest/gtest.h>

#include <ostream>

using namespace oriolebay;

namespace {

const char *const ValidSettings = R"({"name":"e1","failure_domain":"fd-a",
  "peers_listen":"127.0.0.1:7000","store_address":"127.0.0.1:2379"})";

/// Returns the valid settings with further keys.
std::string settingsWith(const std::string &more) {
  std::string text = ValidSettings;
  text.insert(text.rfind('}'), "," + more);
  return text;
}

struct InvalidCase {
  const char *Description;
  std::string Text;
  const char *MessagePart;
};

void PrintTo(const InvalidCase &c, std::ostream *out) { *out << c.Description; }

class NodeSettingsRejected : public testing::TestWithParam<InvalidCase> {};

TEST_P(NodeSettingsRejected, NamesTheSetting) {
  const InvalidCase &c = GetParam();
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
        InvalidCase{"no name", R"({"failure_domain":"f"})", "name"},
        InvalidCase{"no port", settingsWith(R"("callers_listen":"127.0.0.1")"),
                    "callers_listen"},
        InvalidCase{"port out of range",
                    settingsWith(R"("ready_listen":"1.2.3.4:70000")"),
                    "ready_listen"},
        InvalidCase{"port is no number",
                    settingsWith(R"("metrics_listen":"1.2.3.4:x1")"),
                    "metrics_listen"},
        InvalidCase{"no time for a cordon",
                    settingsWith(R"("bounds":{"cordon_ms":0})"),
                    "bounds.cordon_ms"},
        InvalidCase{"domains of the site are no list",
                    settingsWith(R"("site_failure_domains":"fd-a")"),
                    "site_failure_domains"},
        InvalidCase{"unknown key",
                    settingsWith(R"("storeaddress":"1.2.3.4:1")"),
                    "storeaddress"},
        InvalidCase{"unknown bound", settingsWith(R"("bounds":{"hold_ms":1})"),
                    "bounds.hold_ms"},
        InvalidCase{"bounds are no object", settingsWith(R"("bounds":[1])"),
                    "bounds"},
        InvalidCase{"no time at all",
                    settingsWith(R"("bounds":{"stop_grace_ms":0})"),
                    "bounds.stop_grace_ms"},
        InvalidCase{"no grace", settingsWith(R"("bounds":{"term_grace_s":-1})"),
                    "bounds.term_grace_s"},
        InvalidCase{"no processor", settingsWith(R"("processor_share":0)"),
                    "processor_share"},
        InvalidCase{"no memory", settingsWith(R"("memory_mb":0)"), "memory_mb"},
        InvalidCase{"negative memory", settingsWith(R"("memory_mb":-260)"),
                    "memory_mb"},
        InvalidCase{"memory is a text", settingsWith(R"("memory_mb":"260")"),
                    "memory_mb"},
        InvalidCase{"wrong type", settingsWith(R"("heartbeat_ms":"often")"),
                    "heartbeat_ms"},
        InvalidCase{"holds shorter than two heartbeats",
                    settingsWith(
                        R"("heartbeat_ms":3000,"bounds":{"hold_max_ms":6000})"),
                    "bounds.hold_max_ms"},
        InvalidCase{"remote work is faster",
                    settingsWith(R"("bounds":{"remote_factor":0.5})"),
                    "remote_factor"}),
    [](const auto &info) {
      return oriolebay::testnames::testNameFrom(info.param.Description);
    });

/// Returns the memory in MB that the settings give to the process.
int memoryMbOf(const std::string &text) {
  return utils::handle<int>(
      [&]() -> utils::Result<int> {
        BOOST_LEAF_AUTO(s, settings::parseNodeSettings(text));
        return s.MemoryMb;
      },
      [](const utils::Error &e) {
        ADD_FAILURE() << e.Message;
        return 0;
      });
}

TEST(NodeSettings, MemoryIsReadAndHasADefault) {
  EXPECT_EQ(memoryMbOf(settingsWith(R"("memory_mb":260)")), 260);
  EXPECT_EQ(memoryMbOf(ValidSettings), 128);
}

struct SiteCase {
  const char *Name;
  int HeartbeatMs;
  settings::SiteBounds Bounds;
};

void PrintTo(const SiteCase &c, std::ostream *out) { *out << c.Name; }

settings::SiteBounds bounds(int holdMaxMs, int stopGraceMs, int configApplyMs,
                            int revokeMs, int leaseMs, int reclaimMs) {
  settings::SiteBounds siteBounds;
  siteBounds.HoldMaxMs = holdMaxMs;
  siteBounds.StopGraceMs = stopGraceMs;
  siteBounds.ConfigApplyMs = configApplyMs;
  siteBounds.RevokeMs = revokeMs;
  siteBounds.LeaseMs = leaseMs;
  siteBounds.ReclaimMs = reclaimMs;
  return siteBounds;
}

class TimingFollowsFromBounds : public testing::TestWithParam<SiteCase> {};

// All timeouts are derived from the site's bounds, so that a site with other
// bounds keeps its guarantees too. Checks the condition that each timeout has
// to satisfy for any bounds.
TEST_P(TimingFollowsFromBounds, KeepsEachBound) {
  settings::NodeSettings nodeSettings;
  nodeSettings.HeartbeatMs = GetParam().HeartbeatMs;
  nodeSettings.Bounds = GetParam().Bounds;
  const settings::SiteBounds &siteBounds = nodeSettings.Bounds;
  const settings::Timing t = settings::deriveTiming(nodeSettings);
  // A keep-alive call to the end of a grant never extends tasks longer than the
  // worker allows.
  EXPECT_LE(t.Grant, absl::Milliseconds(siteBounds.HoldMaxMs));
  // A grant remains valid when two reports in a row are lost.
  EXPECT_GE(t.Grant, 2 * t.ReportInterval);
  // Tasks are considered ended only after they have ended, also if the clock is
  // 2% slow.
  EXPECT_GE(t.GrantExpiredAfter, t.Grant * 1.02);
  // The lease of a replaced leader has expired before another process may act
  // on the same tasks.
  EXPECT_LT(t.LeaderLease, absl::Milliseconds(siteBounds.LeaseMs));
  // A view of the configuration that serves calls is confirmed again before it
  // is too old, also if one answer is lost. Views that are too old are
  // discarded in half of the time within which a revoked key has to be
  // rejected, and before a change has to be in force.
  EXPECT_LE(2 * t.ConfirmInterval, t.MaxConfigAge);
  EXPECT_LT(t.MaxConfigAge, absl::Milliseconds(siteBounds.ConfigApplyMs));
  EXPECT_LE(t.MaxConfigAge, absl::Milliseconds(siteBounds.RevokeMs) / 2);
  EXPECT_LE(t.ConfirmInterval * 3,
            absl::Milliseconds(siteBounds.ConfigApplyMs));
  // A view that was confirmed in time counts as fresh. Otherwise an entry
  // forwards calls that it could serve itself.
  EXPECT_GT(t.MaxViewAge, t.ConfirmInterval);
  EXPECT_LT(t.MaxViewAge, t.MaxConfigAge);
  // Capacity is reclaimed early enough for the stop to end within the bound.
  EXPECT_LT(t.ReclaimAfter + absl::Milliseconds(siteBounds.StopGraceMs),
            absl::Milliseconds(siteBounds.ReclaimMs));
  EXPECT_LT(t.MaxShutdownTime, absl::Milliseconds(siteBounds.TermGraceMs));
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
