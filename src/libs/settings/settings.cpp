#include "settings.h"

#include "reader.h"

#include <fstream>
#include <sstream>

namespace oriolebay::settings {

using Internal::parseObject;
using Internal::Reader;
using nlohmann::json;
using utils::ErrorKind;

namespace {

utils::Result<void> requireAddress(const std::string &value, const char *key) {
  if (value.rfind("tcp://", 0) != 0 || value.find(':', 6) == std::string::npos)
    return utils::fail(ErrorKind::BadSettings,
                       std::string("setting ") + key + " is not an address",
                       "write it as tcp://IP:PORT");
  return {};
}

utils::Result<void> requirePositive(int value, const char *key) {
  if (value <= 0)
    return utils::fail(ErrorKind::BadSettings,
                       std::string("setting ") + key + " must be above zero",
                       "give a positive number of milliseconds or items");
  return {};
}

} // namespace

utils::Result<EntrySettings> parseEntrySettings(const std::string &text) {
  BOOST_LEAF_AUTO(j, parseObject(text));
  EntrySettings s;
  Reader r(j, "");
  BOOST_LEAF_CHECK(r.get("name", s.Name, true));
  BOOST_LEAF_CHECK(r.get("failure_domain", s.FailureDomain, true));
  BOOST_LEAF_CHECK(r.get("http_host", s.HttpHost, false));
  BOOST_LEAF_CHECK(r.get("http_port", s.HttpPort, true));
  BOOST_LEAF_CHECK(r.get("agent_listen", s.AgentListen, true));
  BOOST_LEAF_CHECK(r.get("store_url", s.StoreUrl, true));
  BOOST_LEAF_CHECK(r.get("metrics_port", s.MetricsPort, false));
  BOOST_LEAF_CHECK(r.get("log_path", s.LogPath, false));
  BOOST_LEAF_CHECK(r.get("ready_file", s.ReadyFile, false));
  BOOST_LEAF_CHECK(r.get("heartbeat_timeout_ms", s.HeartbeatTimeoutMs, false));
  BOOST_LEAF_CHECK(r.get("task_lease_ms", s.TaskLeaseMs, false));
  BOOST_LEAF_CHECK(r.get("leader_lease_s", s.LeaderLeaseS, false));
  BOOST_LEAF_CHECK(r.get("outage_hold_ms", s.OutageHoldMs, false));
  BOOST_LEAF_CHECK(r.get("max_attempts", s.MaxAttempts, false));
  BOOST_LEAF_CHECK(r.get("starve_after_ms", s.StarveAfterMs, false));
  BOOST_LEAF_CHECK(r.get("max_pending_jobs", s.MaxPendingJobs, false));
  BOOST_LEAF_CHECK(r.get("max_callers", s.MaxCallers, false));
  BOOST_LEAF_CHECK(r.get("max_queue_wait_ms", s.MaxQueueWaitMs, false));
  BOOST_LEAF_CHECK(r.get("retry_after_ms", s.RetryAfterMs, false));
  BOOST_LEAF_CHECK(r.get("drain_timeout_ms", s.DrainTimeoutMs, false));
  BOOST_LEAF_CHECK(r.get("placer", s.Placer, false));
  BOOST_LEAF_CHECK(r.requireNoOtherKeys());
  BOOST_LEAF_CHECK(requireAddress(s.AgentListen, "agent_listen"));
  BOOST_LEAF_CHECK(
      requirePositive(s.HeartbeatTimeoutMs, "heartbeat_timeout_ms"));
  BOOST_LEAF_CHECK(requirePositive(s.LeaderLeaseS, "leader_lease_s"));
  BOOST_LEAF_CHECK(requirePositive(s.MaxAttempts, "max_attempts"));
  if (s.TaskLeaseMs <= s.HeartbeatTimeoutMs + s.LeaderLeaseS * 1000)
    return utils::fail(ErrorKind::BadSettings,
                       "setting task_lease_ms must be above "
                       "heartbeat_timeout_ms plus leader_lease_s",
                       "tasks must outlive a change of leader; raise "
                       "task_lease_ms");
  BOOST_LEAF_CHECK(requirePositive(s.MaxPendingJobs, "max_pending_jobs"));
  if (s.MaxCallers <= s.MaxPendingJobs)
    return utils::fail(ErrorKind::BadSettings,
                       "setting max_callers must be above max_pending_jobs",
                       "waiting callers must leave connections for new ones; "
                       "raise max_callers");
  BOOST_LEAF_CHECK(requirePositive(s.RetryAfterMs, "retry_after_ms"));
  if (s.StoreUrl.rfind("http://", 0) != 0)
    return utils::fail(ErrorKind::BadSettings,
                       "setting store_url is not an http:// URL",
                       "write it as http://IP:PORT");
  if (s.Placer != "packed" && s.Placer != "first_fit")
    return utils::fail(ErrorKind::BadSettings,
                       "setting placer must be packed or first_fit",
                       "choose one of the two placers");
  return s;
}

utils::Result<AgentSettings> parseAgentSettings(const std::string &text) {
  BOOST_LEAF_AUTO(j, parseObject(text));
  AgentSettings s;
  Reader r(j, "");
  json worker;
  BOOST_LEAF_CHECK(r.get("worker", worker, true));
  BOOST_LEAF_CHECK(r.get("listen", s.Listen, true));
  BOOST_LEAF_CHECK(r.get("entries", s.Entries, true));
  BOOST_LEAF_CHECK(r.get("backend_url", s.BackendUrl, true));
  BOOST_LEAF_CHECK(r.get("heartbeat_ms", s.HeartbeatMs, false));
  BOOST_LEAF_CHECK(r.get("backend_timeout_ms", s.BackendTimeoutMs, false));
  BOOST_LEAF_CHECK(
      r.get("reservation_timeout_ms", s.ReservationTimeoutMs, false));
  BOOST_LEAF_CHECK(r.get("metrics_port", s.MetricsPort, false));
  BOOST_LEAF_CHECK(r.get("log_path", s.LogPath, false));
  BOOST_LEAF_CHECK(r.get("ready_file", s.ReadyFile, false));
  BOOST_LEAF_CHECK(r.requireNoOtherKeys());
  if (!worker.is_object())
    return utils::fail(ErrorKind::BadSettings,
                       "setting worker is not an object",
                       "give worker as {\"id\", \"failure_domain\", \"rack\", "
                       "\"accelerators\"}");
  Reader w(worker, "worker.");
  BOOST_LEAF_CHECK(w.get("id", s.Worker.Id, true));
  BOOST_LEAF_CHECK(w.get("failure_domain", s.Worker.FailureDomain, true));
  BOOST_LEAF_CHECK(w.get("rack", s.Worker.Rack, true));
  BOOST_LEAF_CHECK(w.get("accelerators", s.Worker.Accelerators, true));
  BOOST_LEAF_CHECK(w.requireNoOtherKeys());
  BOOST_LEAF_CHECK(requireAddress(s.Listen, "listen"));
  if (s.Entries.empty())
    return utils::fail(ErrorKind::BadSettings, "setting entries is empty",
                       "list the nng address of at least one entry");
  for (const std::string &e : s.Entries)
    BOOST_LEAF_CHECK(requireAddress(e, "entries"));
  BOOST_LEAF_CHECK(
      requirePositive(s.Worker.Accelerators, "worker.accelerators"));
  BOOST_LEAF_CHECK(requirePositive(s.HeartbeatMs, "heartbeat_ms"));
  return s;
}

utils::Result<std::string> readFile(const std::string &path) {
  std::ifstream in(path);
  if (!in)
    return utils::fail(ErrorKind::BadSettings,
                       "cannot read settings file " + path,
                       "give the path of a readable JSON file");
  std::stringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

} // namespace oriolebay::settings
