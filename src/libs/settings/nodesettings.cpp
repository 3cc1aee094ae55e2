#include "nodesettings.h"

#include "core/processorshare.h"
#include "reader.h"

#include <algorithm>

namespace oriolebay::settings {

using Internal::parseObject;
using Internal::Reader;
using nlohmann::json;
using utils::ErrorKind;

namespace {

/// Number of reports in one heartbeat period, and number of consecutive missing
/// reports after which a worker counts as unresponsive.
constexpr int ReportsPerHeartbeat = 3;
/// Factor by which a worker's clock may be slower than real time.
constexpr double WorkerClockFactor = 1.02;
/// Maximum time for which a keep-alive call may be in flight.
constexpr absl::Duration MaxCallDelay = absl::Milliseconds(300);
/// Maximum time between a stop and the start that uses the freed capacity: a
/// report, two writes to a slow store (0.4 s each) and the order.
constexpr absl::Duration MaxStopToStartDelay = absl::Milliseconds(1000);
/// Time between the exit of a process after SIGTERM, at the latest, and the
/// time when it would be killed.
constexpr absl::Duration ShutdownMargin = absl::Milliseconds(800);

utils::Result<void> readAddress(Reader &r, const char *key, bool required,
                                HostPort &out) {
  std::string text;
  BOOST_LEAF_CHECK(r.get(key, text, required));
  if (text.empty() && !required)
    return {};
  const size_t colon = text.rfind(':');
  int port = -1;
  if (colon != std::string::npos && colon + 1 < text.size() &&
      text.find_first_not_of("0123456789", colon + 1) == std::string::npos &&
      text.size() - colon <= 6)
    port = std::stoi(text.substr(colon + 1));
  if (colon == 0 || port < 0 || port > 65535)
    return utils::fail(ErrorKind::BadSettings,
                       std::string("setting ") + key + " is not an address",
                       "write it as IP:PORT");
  out = {text.substr(0, colon), port};
  return {};
}

/// Reads an optional time in milliseconds; out keeps its default when key is
/// missing.
utils::Result<void> readMs(Reader &r, const char *key, int &out) {
  BOOST_LEAF_CHECK(r.get(key, out, false));
  if (out <= 0)
    return utils::fail(ErrorKind::BadSettings,
                       std::string("setting bounds.") + key +
                           " must be above zero",
                       "give a positive number of milliseconds");
  return {};
}

/// Reads an optional time in seconds into outMs, which keeps its default when
/// key is missing.
utils::Result<void> readSeconds(Reader &r, const char *key, int &outMs) {
  double seconds = outMs / 1000.0;
  BOOST_LEAF_CHECK(r.get(key, seconds, false));
  outMs = static_cast<int>(seconds * 1000);
  if (outMs <= 0)
    return utils::fail(ErrorKind::BadSettings,
                       std::string("setting bounds.") + key +
                           " must be above zero",
                       "give a positive number of seconds");
  return {};
}

utils::Result<SiteBounds> readBounds(const json &object) {
  SiteBounds b;
  if (object.is_null())
    return b;
  if (!object.is_object())
    return utils::fail(ErrorKind::BadSettings,
                       "setting bounds is not an object",
                       "give bounds as {\"hold_max_ms\": 6000, ...}");
  Reader r(object, "bounds.");
  BOOST_LEAF_CHECK(readMs(r, "hold_max_ms", b.HoldMaxMs));
  BOOST_LEAF_CHECK(readMs(r, "stop_grace_ms", b.StopGraceMs));
  BOOST_LEAF_CHECK(readMs(r, "gang_wait_ms", b.GangWaitMs));
  BOOST_LEAF_CHECK(readMs(r, "config_apply_ms", b.ConfigApplyMs));
  BOOST_LEAF_CHECK(readMs(r, "config_rollback_ms", b.ConfigRollbackMs));
  BOOST_LEAF_CHECK(readMs(r, "revoke_ms", b.RevokeMs));
  BOOST_LEAF_CHECK(readMs(r, "lease_ms", b.LeaseMs));
  BOOST_LEAF_CHECK(readMs(r, "restore_ms", b.RestoreMs));
  BOOST_LEAF_CHECK(readMs(r, "reclaim_ms", b.ReclaimMs));
  BOOST_LEAF_CHECK(readMs(r, "cordon_ms", b.CordonMs));
  BOOST_LEAF_CHECK(readSeconds(r, "term_grace_s", b.TermGraceMs));
  BOOST_LEAF_CHECK(readSeconds(r, "keep_finished_s", b.KeepFinishedMs));
  BOOST_LEAF_CHECK(r.get("remote_factor", b.RemoteFactor, false));
  if (b.RemoteFactor < 1)
    return utils::fail(ErrorKind::BadSettings,
                       "setting bounds.remote_factor is below 1",
                       "work on another rack than its data is never faster; "
                       "give 1 or more");
  BOOST_LEAF_CHECK(r.requireNoOtherKeys());
  return b;
}

} // namespace

utils::Result<NodeSettings> parseNodeSettings(const std::string &text) {
  BOOST_LEAF_AUTO(j, parseObject(text));
  NodeSettings s;
  Reader r(j, "");
  BOOST_LEAF_CHECK(r.get("name", s.Name, true));
  BOOST_LEAF_CHECK(r.get("failure_domain", s.FailureDomain, true));
  BOOST_LEAF_CHECK(r.get("site_failure_domains", s.SiteFailureDomains, false));
  BOOST_LEAF_CHECK(readAddress(r, "callers_listen", false, s.Callers));
  BOOST_LEAF_CHECK(readAddress(r, "ready_listen", false, s.Ready));
  BOOST_LEAF_CHECK(readAddress(r, "control_listen", false, s.Control));
  BOOST_LEAF_CHECK(readAddress(r, "peers_listen", true, s.Peers));
  BOOST_LEAF_CHECK(readAddress(r, "metrics_listen", false, s.Metrics));
  BOOST_LEAF_CHECK(readAddress(r, "worker_address", false, s.Worker));
  BOOST_LEAF_CHECK(readAddress(r, "store_address", true, s.Store));
  BOOST_LEAF_CHECK(r.get("store_min_lease_ms", s.StoreMinLeaseMs, false));
  BOOST_LEAF_CHECK(readAddress(r, "advice_address", false, s.Advice));
  BOOST_LEAF_CHECK(r.get("heartbeat_ms", s.HeartbeatMs, false));
  BOOST_LEAF_CHECK(r.get("processor_share", s.ProcessorShare, false));
  BOOST_LEAF_CHECK(r.get("memory_mb", s.MemoryMb, false));
  json bounds;
  BOOST_LEAF_CHECK(r.get("bounds", bounds, false));
  BOOST_LEAF_CHECK(r.requireNoOtherKeys());
  BOOST_LEAF_AUTO(read, readBounds(bounds));
  s.Bounds = read;
  if (s.HeartbeatMs <= 0 || s.StoreMinLeaseMs <= 0)
    return utils::fail(ErrorKind::BadSettings,
                       "settings heartbeat_ms and store_min_lease_ms must be "
                       "above zero",
                       "give a positive number of milliseconds");
  if (!core::isProcessorShare(s.ProcessorShare))
    return utils::fail(ErrorKind::BadSettings,
                       "setting processor_share must be above zero, and 1024 "
                       "at most",
                       "give the cores that the process may use, such as 0.25");
  if (s.MemoryMb <= 0)
    return utils::fail(ErrorKind::BadSettings,
                       "setting memory_mb must be above zero",
                       "give the memory in MB that the process may use, such "
                       "as 128");
  if (s.Bounds.HoldMaxMs <= 2 * s.HeartbeatMs)
    return utils::fail(ErrorKind::BadSettings,
                       "setting bounds.hold_max_ms must be above twice "
                       "heartbeat_ms",
                       "tasks must outlive a lost heartbeat; lower "
                       "heartbeat_ms");
  return s;
}

Timing deriveTiming(const NodeSettings &s) {
  Timing t;
  t.ReportInterval = absl::Milliseconds(s.HeartbeatMs) / ReportsPerHeartbeat;
  t.UnresponsiveAfter = ReportsPerHeartbeat * t.ReportInterval;
  t.StateOutdatedAfter = absl::Milliseconds(s.HeartbeatMs) * 5 / 2;
  t.Grant = absl::Milliseconds(s.Bounds.HoldMaxMs) - t.ReportInterval;
  t.GrantWithoutStore = absl::Milliseconds(s.Bounds.HoldMaxMs) * 5 / 4;
  t.GrantExpiredAfter = t.Grant * WorkerClockFactor + MaxCallDelay;
  t.LeaderLease = std::max(absl::Milliseconds(s.Bounds.LeaseMs) * 2 / 3,
                           absl::Milliseconds(s.StoreMinLeaseMs));
  t.ConfirmInterval = absl::Milliseconds(s.Bounds.ConfigApplyMs) * 3 / 10;
  t.MaxViewAge = t.ConfirmInterval * 4 / 3;
  t.MaxConfigAge = std::min(absl::Milliseconds(s.Bounds.RevokeMs) / 2,
                            absl::Milliseconds(s.Bounds.ConfigApplyMs) * 5 / 6);
  t.NotReadyAfter = absl::Milliseconds(s.Bounds.ConfigApplyMs);
  t.ReclaimAfter =
      std::max(absl::Milliseconds(s.Bounds.ReclaimMs - s.Bounds.StopGraceMs) -
                   MaxStopToStartDelay,
               absl::ZeroDuration());
  t.CordonReadInterval = absl::Milliseconds(s.Bounds.CordonMs) / 5;
  t.MaxCordonAge = absl::Milliseconds(s.Bounds.CordonMs) * 7 / 10;
  t.MaxShutdownTime = absl::Milliseconds(s.Bounds.TermGraceMs) - ShutdownMargin;
  return t;
}

} // namespace oriolebay::settings
