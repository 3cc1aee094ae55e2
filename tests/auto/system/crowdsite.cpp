#include "crowdsite.h"

#include "crowdmessages.h"
#include "testnames.h"
#include "waituntil.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <set>
#include <stdexcept>

namespace oriolebay::testing_system {

using nlohmann::json;

namespace {

constexpr int64_t BytesPerKb = 1024;
constexpr int64_t BytesPerMb = 1024 * BytesPerKb;
/// Fewest descriptors that a host gives, without those that are kept for files.
constexpr int MaxDescriptors = 3075 - 200;
/// Numbers of ordinary jobs, apart from those of a crowd.
constexpr int FirstOrdinaryJob = 0xf0000;
const std::string MetricsEntry = "entry-0";

/// Returns the role under which the door's port is logged.
std::string roleOf(Door door) {
  switch (door) {
  case Door::Callers:
    return "callers";
  case Door::Ready:
    return "ready";
  case Door::Control:
    return "control";
  case Door::Metrics:
    return "metrics";
  }
  return "";
}

std::string heartbeat() {
  return json{{"service", "s"},
              {"capacity", {{"cpu", 1}, {"memMb", 1}, {"gpu", 0}}},
              {"labels", {"a", "r0"}},
              {"sequence", 1}}
      .dump();
}

int freePort() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  const int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bind(s, reinterpret_cast<sockaddr *>(&address), size);
  getsockname(s, reinterpret_cast<sockaddr *>(&address), &size);
  close(s);
  return ntohs(address.sin_port);
}

bool saysNeverRuns(int status) { return status == 503 || status == 429; }

void record(const char *name, int64_t value) {
  testing::Test::RecordProperty(name, std::to_string(value));
}

} // namespace

std::string jobId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", 0xc0000 + number);
  return id;
}

std::string callHead(const std::string &method, int number,
                     const std::string &key) {
  return method + " /q/" + jobId(number) +
         " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n";
}

std::string headOf(Door door, int number) {
  const std::string method = number % 2 == 0 ? "GET " : "POST ";
  const std::string end = " HTTP/1.1\r\nHost: h\r\n";
  switch (door) {
  case Door::Callers:
    return callHead("POST", number);
  case Door::Ready:
    return method + "/-/ready" + end;
  case Door::Control:
    return "POST /-/Instances.Heartbeat/i-other" + end;
  case Door::Metrics:
    return method + "/metrics" + end;
  }
  return "";
}

CrowdSite::CrowdSite(int memoryMb, int entries, int workers, size_t savedBytes)
    : MemoryMb(memoryMb), MetricsPort(freePort()) {
  JobsSite::Options options;
  options.Entries = entries;
  options.Workers = workers;
  options.SavedBytes = savedBytes;
  options.MoreSettings = [this](const std::string &process) {
    json settings = {{"memory_mb", MemoryMb}};
    if (process == MetricsEntry)
      settings["metrics_listen"] = "127.0.0.1:" + std::to_string(MetricsPort);
    return settings;
  };
  Site = std::make_unique<JobsSite>(testnames::workDir(), options);
  Site->awaitService();
  SiteConfig config;
  config.MaxBodyBytes = MaxCallBodyBytes;
  Site->setConfig(config);
  completesJob(0);
}

JobsProcess &CrowdSite::processOf(Door door) {
  return door == Door::Control ? *Site->Agents[0] : *Site->Entries[0];
}

int CrowdSite::portOf(Door door) {
  return door == Door::Metrics ? MetricsPort
                               : processOf(door).port(roleOf(door));
}

void CrowdSite::watch(JobsProcess &process) {
  Watched = &process;
  PidBefore = process.pid();
  std::set<int> ports;
  for (const char *role : {"callers", "ready", "control", "peers"})
    if (const int port = process.port(role))
      ports.insert(port);
  if (process.name() == MetricsEntry)
    ports.insert(MetricsPort);
  Watch = std::make_unique<MemoryWatch>(PidBefore, ports);
}

void CrowdSite::awaitHeld(const Crowd &crowd) const {
  crowd.awaitHeld();
  Watch->awaitSteady();
}

bool CrowdSite::completesJob(size_t entry) {
  try {
    Site->completeJob(entry, jobId(FirstOrdinaryJob + ++OrdinaryJobs));
    return true;
  } catch (const std::runtime_error &) {
    return false;
  }
}

bool CrowdSite::isAnsweredAt(Door door) {
  switch (door) {
  case Door::Callers:
    return completesJob(0);
  case Door::Ready:
    return isAnswered(door, "GET", "/-/ready", "");
  case Door::Control:
    return isAnswered(door, "POST", "/-/Instances.Heartbeat/i-other",
                      heartbeat());
  case Door::Metrics:
    return isAnswered(door, "GET", "/metrics", "");
  }
  return false;
}

bool CrowdSite::isAnswered(Door door, const std::string &method,
                           const std::string &path, const std::string &body) {
  try {
    testwaits::waitUntil([&] {
      return JobsSite::callPort(portOf(door), method, path, body) == 200;
    });
    return true;
  } catch (const std::runtime_error &) {
    return false;
  }
}

void CrowdSite::expectRefusedJobsNotStored(
    const std::vector<std::vector<int>> &statusesOfClients, int jobsPerClient) {
  int firstJob = 0;
  for (const std::vector<int> &statuses : statusesOfClients) {
    int job = firstJob;
    for (const int status : statuses) {
      EXPECT_FALSE(saysNeverRuns(status) && Site->isStored(jobId(job)))
          << "job " << job << " was refused with " << status
          << " and is stored";
      ++job;
    }
    firstJob += jobsPerClient;
  }
}

void CrowdSite::expectWithinLimits() {
  EXPECT_TRUE(Watched->isRunning()) << Watched->name() << " has ended";
  EXPECT_EQ(Watched->pid(), PidBefore);
  const ProcessPeaks peaks = Watch->stop();
  const int64_t limit = MemoryMb * BytesPerMb;
  EXPECT_LE(peaks.ResidentBytes, limit) << "resident memory";
  EXPECT_LE(peaks.ChargedBytes, limit) << "resident memory and unread bytes";
  EXPECT_LE(peaks.Descriptors, MaxDescriptors);
  record("resident_kb", peaks.ResidentBytes / BytesPerKb);
  record("charged_kb", peaks.ChargedBytes / BytesPerKb);
  record("unread_kb", peaks.UnreadBytes / BytesPerKb);
  record("descriptors", peaks.Descriptors);
}

} // namespace oriolebay::testing_system
