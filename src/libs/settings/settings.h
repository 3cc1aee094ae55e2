#pragma once

#include "core/workerinfo.h"
#include "utils/error.h"

#include <string>
#include <vector>

namespace oriolebay::settings {

/// Settings of an entry process (oriolebay-entry serve), read from JSON.
struct EntrySettings {
  std::string Name;
  std::string FailureDomain;
  std::string HttpHost = "127.0.0.1";
  int HttpPort = 0;
  std::string AgentListen;
  std::string StoreUrl;
  int MetricsPort = 0;
  std::string LogPath;
  std::string ReadyFile;
  int HeartbeatTimeoutMs = 3000;
  int TaskLeaseMs = 10000;
  int LeaderLeaseS = 3;
  int OutageHoldMs = 600000;
  int MaxAttempts = 3;
  int StarveAfterMs = 500;
  int MaxPendingJobs = 1024;
  int MaxCallers = 2048;
  int MaxQueueWaitMs = 2000;
  int RetryAfterMs = 1000;
  int DrainTimeoutMs = 30000;
  std::string Placer = "packed";
  bool operator==(const EntrySettings &) const = default;
};

/// Settings of an agent process (oriolebay-agent serve), read from JSON.
struct AgentSettings {
  core::WorkerInfo Worker;
  std::string Listen;
  std::vector<std::string> Entries;
  std::string BackendUrl;
  int HeartbeatMs = 1000;
  int BackendTimeoutMs = 86400000;
  int ReservationTimeoutMs = 10000;
  int MetricsPort = 0;
  std::string LogPath;
  std::string ReadyFile;
  bool operator==(const AgentSettings &) const = default;
};

/// Parses and checks entry settings in JSON. An unknown key, a value of the
/// wrong type, a missing required key or an unusable value gives an
/// ErrorKind::BadSettings error with the name of the key and the remedy.
utils::Result<EntrySettings> parseEntrySettings(const std::string &text);
/// Parses and checks agent settings in the same way.
utils::Result<AgentSettings> parseAgentSettings(const std::string &text);
/// Reads the whole file at path; BadSettings when it cannot be read.
utils::Result<std::string> readFile(const std::string &path);

} // namespace oriolebay::settings
