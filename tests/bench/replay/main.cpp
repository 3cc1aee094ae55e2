// Experiment and load tool. Starts the real processes on loopback (store
// stand-in, back end stand-in, entries, one agent per worker). By default it
// replays a site's workload with one or both placers and reports the completion
// time of each class and the fragmentation. With --load it drives N agents with
// a job mix and profile changes and reports the resource usage of each role as
// CSV rows for docs/CAPACITY.md. With --failover it measures how long a change
// of leader takes.
#include "core/codec.h"
#include "harness/launcher.h"
#include "harness/workload.h"
#include "http/httpclient.h"

#include <absl/time/clock.h>
#include <boost/program_options.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <sys/wait.h>
#include <thread>

namespace po = boost::program_options;
using namespace oriolebay;
using nlohmann::json;

namespace {

json readJson(const std::string &path) {
  std::ifstream in(path);
  json j = json::parse(in, nullptr, false);
  if (j.is_discarded())
    throw std::runtime_error("cannot read JSON from " + path);
  return j;
}

json getJson(const std::string &url) {
  http::HttpClient client(5000);
  auto res = client.call("GET", url, "");
  json j = json::parse(res.Body, nullptr, false);
  return j.is_discarded() ? json::object() : j;
}

struct RunSummary {
  /// Completion times in milliseconds, by class and also by the job name in the
  /// workload.
  std::map<std::string, std::vector<double>> LatencyByClass;
  std::map<std::string, int> Outcomes;
  std::vector<double> Fragmentation;
  int Jobs = 0;
};

RunSummary replay(const json &site, const json &workload,
                  const std::string &placer, const std::string &bin,
                  const std::string &work) {
  std::filesystem::create_directories(work);
  bench::LaunchSpec spec;
  spec.BinDir = bin;
  spec.WorkDir = work;
  spec.Service = site.value("service", "oven");
  spec.BackendRunMs = site.value("backend_run_ms", 20);
  spec.Workers = bench::makeWorkers(site.value("workers", 9),
                                    site.value("failure_domains", 3),
                                    site.value("accelerators_per_worker", 8));
  spec.Placer = placer;
  spec.MaxQueueWaitMs = site.value("max_queue_wait_ms", 20000);
  // The baseline is simple in both respects: it places by first fit, and it
  // reserves no workers for a waiting gang.
  if (placer == "first_fit")
    spec.StarveAfterMs = std::numeric_limits<int>::max();
  bench::Launcher launcher(spec);
  launcher.start();
  launcher.putProfile(site.at("profile"));
  const std::string stats =
      "http://127.0.0.1:" + std::to_string(launcher.httpPort()) + "/v1/stats";
  // The entry receives the profile through a watch: wait until it has the
  // profile and knows all workers before the first job is submitted.
  const absl::Time deadline = absl::Now() + absl::Seconds(10);
  while (absl::Now() < deadline) {
    json s = getJson(stats);
    if (s.value("profile_version", 0) > 0 &&
        s.value("workers", 0) == static_cast<int>(spec.Workers.size()))
      break;
    absl::SleepFor(absl::Milliseconds(50));
  }
  RunSummary out;
  auto jobs = bench::planWorkload(workload);
  auto records = bench::runWorkload(launcher.httpPort(), jobs, [&] {
    out.Fragmentation.push_back(getJson(stats).value("fragmentation", 0.0));
  });
  launcher.stopAll();
  for (const bench::JobRecord &r : records) {
    std::string className =
        r.Job.Request.Class == core::JobClass::Urgent ? "urgent" : "batch";
    out.Outcomes[json(r.Answer.Result).get<std::string>()]++;
    if (r.Answer.Result != core::Outcome::Done)
      continue;
    out.LatencyByClass[className].push_back(r.LatencyMs);
    const std::string &id = r.Job.Request.Id;
    out.LatencyByClass[id.substr(0, id.rfind('-'))].push_back(r.LatencyMs);
  }
  out.Jobs = static_cast<int>(records.size());
  return out;
}

double mean(const std::vector<double> &v) {
  double sum = 0;
  for (double x : v)
    sum += x;
  return v.empty() ? 0 : sum / static_cast<double>(v.size());
}

void printSummary(const std::string &placer, const RunSummary &s,
                  std::ostream &csv) {
  std::cout << "placer " << placer << ": " << s.Jobs << " jobs;";
  for (const auto &[outcome, n] : s.Outcomes)
    std::cout << " " << outcome << "=" << n;
  std::cout << "\n";
  for (const auto &[className, latencies] : s.LatencyByClass) {
    std::cout << "  completion " << className << " ms: mean " << mean(latencies)
              << "  p50 " << bench::percentile(latencies, 50) << "  p95 "
              << bench::percentile(latencies, 95) << "  p99 "
              << bench::percentile(latencies, 99) << "  (n=" << latencies.size()
              << ")\n";
    csv << placer << "," << className << "," << latencies.size() << ","
        << mean(latencies) << "," << bench::percentile(latencies, 50) << ","
        << bench::percentile(latencies, 95) << ","
        << bench::percentile(latencies, 99) << "," << mean(s.Fragmentation)
        << "\n";
  }
  std::cout << "  fragmentation (mean over the run): " << mean(s.Fragmentation)
            << "\n";
}

// Returns the times from the write of each profile version until it took effect
// at each agent, in milliseconds, from the agents' logs.
std::vector<double>
agentPropagationDelays(const std::string &work,
                       const std::map<int64_t, int64_t> &writtenAtUs) {
  std::vector<double> out;
  for (const auto &f : std::filesystem::directory_iterator(work)) {
    const std::string name = f.path().filename();
    if (name.rfind("agent-", 0) != 0 || f.path().extension() != ".log")
      continue;
    std::ifstream in(f.path());
    for (std::string line; std::getline(in, line);) {
      const json event = json::parse(line, nullptr, false);
      if (!event.is_object() || event.value("name", "") != "profile.in_force")
        continue;
      auto it = writtenAtUs.find(event.value("version", int64_t{0}));
      if (it != writtenAtUs.end())
        out.push_back(
            static_cast<double>(event.value("ts_us", int64_t{0}) - it->second) /
            1000.0);
    }
  }
  return out;
}

// Kills the leading entry once per round and measures the time until a new job
// of a caller at the other entry is done.
int runFailover(int agents, int rounds, const std::string &bin,
                const std::string &work, std::ostream &csv) {
  bench::LaunchSpec spec;
  spec.BinDir = bin;
  spec.WorkDir = work;
  spec.Workers = bench::makeWorkers(agents, 3, 8);
  spec.Entries = 2;
  spec.MaxQueueWaitMs = 30000;
  bench::Launcher launcher(spec);
  launcher.start();
  launcher.putProfile({{"name", "site"},
                       {"power_cap_watts", 1000000000},
                       {"guarantees", json::array()}});
  auto stats = [&](int i) {
    return getJson("http://127.0.0.1:" + std::to_string(launcher.httpPort(i)) +
                   "/v1/stats");
  };
  std::vector<double> times;
  for (int round = 0; round < rounds; ++round) {
    int leaderIndex = -1;
    while (leaderIndex < 0) {
      for (int i = 0; i < 2; ++i)
        if (stats(i).value("workers", 0) == agents &&
            stats(1 - i).value("profile_version", 0) > 0)
          leaderIndex = i;
      absl::SleepFor(absl::Milliseconds(50));
    }
    kill(launcher.entryPid(leaderIndex), SIGKILL);
    waitpid(launcher.entryPid(leaderIndex), nullptr, 0);
    const absl::Time killed = absl::Now();
    json workload = {{"seed", round},
                     {"jobs",
                      {{{"name", "after-" + std::to_string(round)},
                        {"organisation", "org"},
                        {"class", "urgent"},
                        {"run_ms", 1}}}}};
    auto records = bench::runWorkload(launcher.httpPort(1 - leaderIndex),
                                      bench::planWorkload(workload), nullptr);
    if (records.at(0).Answer.Result != core::Outcome::Done)
      std::cout << "round " << round << ": " << records.at(0).Answer.Detail
                << "\n";
    times.push_back(absl::ToDoubleMilliseconds(absl::Now() - killed));
    launcher.restartEntry(leaderIndex);
  }
  launcher.stopAll();
  csv << agents << "," << rounds << "," << bench::percentile(times, 50) << ","
      << bench::percentile(times, 100) << "\n";
  return 0;
}

int runLoad(int agents, int entries, int seconds, int changes, double jobRate,
            const std::string &bin, const std::string &work,
            std::ostream &csv) {
  std::filesystem::create_directories(work);
  bench::LaunchSpec spec;
  spec.BinDir = bin;
  spec.WorkDir = work;
  spec.BackendRunMs = 50;
  spec.Workers = bench::makeWorkers(agents, 3, 8);
  spec.HeartbeatMs = 1000;
  spec.Entries = entries;
  bench::Launcher launcher(spec);
  launcher.start();
  json profile = {{"name", "site"},
                  {"power_cap_watts", 1000000000},
                  {"guarantees", json::array()}};
  launcher.putProfile(profile);
  // Only the leading entry knows the workers; its counters are reported.
  int leaderIndex = 0;
  auto statsOf = [&](int i) {
    return "http://127.0.0.1:" + std::to_string(launcher.httpPort(i)) +
           "/v1/stats";
  };
  while (getJson(statsOf(leaderIndex)).value("workers", 0) < agents) {
    leaderIndex = (leaderIndex + 1) % entries;
    absl::SleepFor(absl::Milliseconds(50));
  }
  const std::string stats = statsOf(leaderIndex);
  auto before = launcher.usage();
  json entryBefore = getJson(stats);
  json storeBefore = getJson(launcher.storeUrl() + "/stats");
  const absl::Time start = absl::Now();
  // The load is jobRate single-member jobs per agent and second, and `changes`
  // profile writes spread over the run. For each write, the time until the
  // entry applies it is measured.
  const int jobCount = static_cast<int>(agents * seconds * jobRate);
  json workload = {{"seed", 7},
                   {"jobs",
                    {{{"name", "load"},
                      {"organisation", "org"},
                      {"profile", "site"},
                      {"count", jobCount},
                      {"spacing_ms", jobCount > 0 ? seconds * 1000 / jobCount
                                                  : seconds * 1000},
                      {"run_ms", 50}}}}};
  std::vector<double> propagation;
  std::map<int64_t, int64_t> writtenAtUs;
  std::thread profileWriter([&] {
    int64_t version = getJson(stats).value("profile_version", 0);
    for (int i = 0; i < changes; ++i) {
      absl::SleepFor(absl::Milliseconds(seconds * 1000 / (changes + 1)));
      profile["power_cap_watts"] = 1000000000 + i + 1;
      const absl::Time put = absl::Now();
      launcher.putProfile(profile, version);
      while (true) {
        int64_t v = getJson(stats).value("profile_version", 0);
        if (v > version) {
          version = v;
          writtenAtUs[v] = absl::ToUnixMicros(put);
          break;
        }
        absl::SleepFor(absl::Milliseconds(5));
      }
      propagation.push_back(absl::ToDoubleMilliseconds(absl::Now() - put));
    }
  });
  auto records = bench::runWorkload(launcher.httpPort(),
                                    bench::planWorkload(workload), nullptr);
  // Without jobs the run would end at once; wait, so that the cost of
  // heartbeats alone is measured over the same time.
  absl::SleepFor(start + absl::Seconds(seconds) - absl::Now());
  profileWriter.join();
  const double elapsed = absl::ToDoubleSeconds(absl::Now() - start);
  auto after = launcher.usage();
  json entryAfter = getJson(stats);
  json storeAfter = getJson(launcher.storeUrl() + "/stats");
  const std::string leaderName = "entry-" + std::to_string(leaderIndex);
  double entryCpu = 0, followerCpu = 0, agentCpu = 0;
  long entryRss = 0, agentRss = 0;
  for (size_t i = 0; i < after.size(); ++i) {
    double cpu = after[i].CpuSeconds - before[i].CpuSeconds;
    if (after[i].Name == leaderName) {
      entryCpu = cpu;
      entryRss = after[i].RssKb;
    } else if (after[i].Role == "entry") {
      followerCpu = std::max(followerCpu, cpu);
    } else if (after[i].Role == "agent") {
      agentCpu += cpu;
      agentRss += after[i].RssKb;
    }
  }
  int done = 0;
  for (const auto &r : records)
    done += r.Answer.Result == core::Outcome::Done ? 1 : 0;
  launcher.stopAll();
  const auto agentDelays = agentPropagationDelays(work, writtenAtUs);
  const double msgs = entryAfter.value("agent_messages", 0.0) -
                      entryBefore.value("agent_messages", 0.0);
  const double bytes = entryAfter.value("agent_bytes", 0.0) -
                       entryBefore.value("agent_bytes", 0.0);
  const double kvCalls =
      storeAfter.value("total", 0.0) - storeBefore.value("total", 0.0);
  csv << jobRate << "," << entries << "," << agents << "," << elapsed << ","
      << records.size() << "," << done << "," << entryCpu / elapsed << ","
      << followerCpu / elapsed << "," << entryRss << ","
      << agentCpu / elapsed / agents << "," << agentRss / agents << ","
      << msgs / elapsed << "," << bytes / elapsed << "," << kvCalls / elapsed
      << "," << bench::percentile(propagation, 50) << ","
      << bench::percentile(propagation, 99) << ","
      << bench::percentile(agentDelays, 50) << ","
      << bench::percentile(agentDelays, 99) << "\n";
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  po::options_description opts("oriolebay-replay [options]");
  opts.add_options()("help", "this text")(
      "bin", po::value<std::string>()->default_value("build"), "build folder")(
      "work", po::value<std::string>()->default_value("out/run"),
      "folder for settings, logs and ready files of the processes")(
      "site", po::value<std::string>(), "site file (examples/NAME/site.json)")(
      "workload", po::value<std::string>(), "workload file")(
      "placer", po::value<std::string>()->default_value("both"),
      "packed, first_fit or both")("csv", po::value<std::string>(),
                                   "write the figures here as CSV")(
      "series", po::value<std::string>(),
      "write fragmentation over time (a sample every 100 ms) here as CSV")(
      "load", "load mode: drive --agents with jobs and profile changes")(
      "failover", "failover mode: kill the leading entry --rounds times")(
      "rounds", po::value<int>()->default_value(5), "rounds of --failover")(
      "entries", po::value<int>()->default_value(1), "entries in a load run")(
      "agents", po::value<std::vector<int>>()->multitoken(),
      "agent counts for --load")("seconds", po::value<int>()->default_value(10),
                                 "length of a load run")(
      "profile-changes", po::value<int>()->default_value(5),
      "profile writes during a load run")(
      "job-rate", po::value<double>()->default_value(1.0),
      "jobs per agent per second in a load run");
  po::variables_map vm;
  try {
    po::store(po::parse_command_line(argc, argv, opts), vm);
    po::notify(vm);
  } catch (const po::error &e) {
    std::cerr << "oriolebay-replay: " << e.what() << " (remedy: --help)\n";
    return 2;
  }
  if (vm.count("help")) {
    std::cout << opts << '\n';
    return 0;
  }
  std::ofstream csvFile;
  if (vm.count("csv"))
    csvFile.open(vm["csv"].as<std::string>());
  std::ostream &csv = vm.count("csv") ? csvFile : std::cout;
  const std::string bin = vm["bin"].as<std::string>();
  const std::string work = vm["work"].as<std::string>();
  if (vm.count("failover")) {
    csv << "agents,rounds,p50_ms,max_ms\n";
    for (int n : vm["agents"].as<std::vector<int>>())
      runFailover(n, vm["rounds"].as<int>(), bin,
                  work + "/failover-" + std::to_string(n), csv);
    return 0;
  }
  if (vm.count("load")) {
    csv << "job_rate,entries,agents,seconds,jobs,done,leader_cpu_per_s,"
           "follower_cpu_per_s,leader_rss_kb,"
           "agent_cpu_per_s,agent_rss_kb,entry_msgs_per_s,entry_bytes_per_s,"
           "store_calls_per_s,config_p50_ms,config_p99_ms,agent_config_p50_ms,"
           "agent_config_p99_ms\n";
    for (int n : vm["agents"].as<std::vector<int>>())
      runLoad(n, vm["entries"].as<int>(), vm["seconds"].as<int>(),
              vm["profile-changes"].as<int>(), vm["job-rate"].as<double>(), bin,
              work + "/load-" + std::to_string(n), csv);
    return 0;
  }
  if (!vm.count("site") || !vm.count("workload")) {
    std::cerr << "oriolebay-replay: give --site and --workload, or --load, or "
                 "--failover\n";
    return 2;
  }
  json site = readJson(vm["site"].as<std::string>());
  json workload = readJson(vm["workload"].as<std::string>());
  const std::string chosenPlacer = vm["placer"].as<std::string>();
  csv << "placer,group,done,mean_ms,p50_ms,p95_ms,p99_ms,fragmentation_mean\n";
  std::ofstream series;
  if (vm.count("series"))
    series.open(vm["series"].as<std::string>());
  series << "placer,sample,fragmentation\n";
  std::map<std::string, RunSummary> runs;
  for (const std::string placer : {"packed", "first_fit"}) {
    if (chosenPlacer != "both" && chosenPlacer != placer)
      continue;
    runs[placer] = replay(site, workload, placer, bin, work + "/" + placer);
    printSummary(placer, runs[placer], csv);
    for (size_t i = 0; i < runs[placer].Fragmentation.size(); ++i)
      series << placer << "," << i << "," << runs[placer].Fragmentation[i]
             << "\n";
  }
  if (runs.size() == 2) {
    auto &p = runs["packed"];
    auto &f = runs["first_fit"];
    for (const auto &[className, latencies] : p.LatencyByClass)
      std::cout << "ratio packed/first_fit completion " << className
                << ": mean "
                << mean(latencies) /
                       std::max(1.0, mean(f.LatencyByClass[className]))
                << "  p95 "
                << bench::percentile(latencies, 95) /
                       std::max(1.0, bench::percentile(
                                         f.LatencyByClass[className], 95))
                << "\n";
    std::cout << "ratio packed/first_fit fragmentation: "
              << mean(p.Fragmentation) / std::max(1e-9, mean(f.Fragmentation))
              << "\n";
  }
  return 0;
}
