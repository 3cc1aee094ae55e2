// Simulates days of the sites' load with the job scheduler in memory and prints
// the results as one line of JSON for each site and load.
#include "siteload.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace po = boost::program_options;
using namespace oriolebay;

namespace {

double rounded(double x) { return std::round(x * 1000) / 1000; }

struct LoadSummary {
  bench::DayResult Total;
  double ScoreSquares = 0;
  int Days = 0;

  void add(const bench::DayResult &day) {
    ++Days;
    Total.Score += day.Score;
    ScoreSquares += day.Score * day.Score;
    Total.Earned += day.Earned;
    Total.InTime += day.InTime;
    Total.LostCoreSeconds += day.LostCoreSeconds;
    Total.Starts += day.Starts;
    Total.Violations += day.Violations;
    Total.InTimeByKind.resize(day.InTimeByKind.size());
    for (size_t k = 0; k < day.InTimeByKind.size(); ++k)
      Total.InTimeByKind[k] += day.InTimeByKind[k];
  }

  nlohmann::json toJson(const bench::SiteLoad &site, double load) const {
    const double mean = Total.Score / Days;
    const double variance = ScoreSquares / Days - mean * mean;
    nlohmann::json kinds;
    for (size_t k = 0; k < site.Kinds.size(); ++k)
      kinds[site.Kinds[k].Name] = rounded(Total.InTimeByKind[k] / Days);
    return {{"site", site.Name},
            {"load", load},
            {"score", rounded(mean)},
            {"score_error", rounded(std::sqrt(std::max(0.0, variance) / Days))},
            {"earned", rounded(Total.Earned / Days)},
            {"in_time", rounded(Total.InTime / Days)},
            {"kinds", kinds},
            {"wasted_core_s", std::round(Total.LostCoreSeconds / Days)},
            {"starts_a_day", Total.Starts / Days},
            {"broken", Total.Violations}};
  }
};

/// A variant of the scheduler's policy, to be compared with the deployed one.
struct NamedPolicy {
  const char *Name;
  const char *Description;
  std::function<void(jobs::SchedulerPolicy &)> Apply;
};

const std::vector<NamedPolicy> &policies() {
  using P = jobs::SchedulerPolicy;
  static const std::vector<NamedPolicy> all = {
      {"deployed", "the policy of the leading entry", [](P &) {}},
      {"trusted_estimates", "slack as the estimates say it",
       [](P &p) { p.SlackDeviations = 0; }},
      {"doubted_estimates", "slack at two standard deviations",
       [](P &p) { p.SlackDeviations = 2; }},
      {"overdue_in_turn", "overdue work keeps its turn",
       [](P &p) { p.OverdueLast = false; }},
      {"late_verdicts", "a run that stops progressing is not noticed earlier",
       [](P &p) { p.Progress.SuddenStallAfter = absl::InfiniteDuration(); }},
      {"no_headroom", "no capacity is kept free for urgent work",
       [](P &p) { p.Headroom = 0; }},
      {"half_headroom", "half of the usual headroom is kept free",
       [](P &p) { p.Headroom = 0.5; }},
      {"double_headroom", "twice the usual headroom is kept free",
       [](P &p) { p.Headroom = 2; }},
      {"few_kept",
       "capacity is reserved for two waiting gangs at any site size",
       [](P &p) { p.WorkersPerReservation = 1 << 20; }},
      {"one_failure", "one failed run quarantines a worker",
       [](P &p) { p.Fleet.FailuresBeforeQuarantine = 1; }},
      {"little_waste", "little work may be discarded for urgent work",
       [](P &p) { p.MaxLostWorkBase = 40; }}};
  return all;
}

const NamedPolicy *findPolicy(const std::string &name) {
  for (const NamedPolicy &p : policies())
    if (name == p.Name)
      return &p;
  return nullptr;
}

jobs::SchedulerPolicy policyFor(const bench::SiteLoad &site,
                                const NamedPolicy &namedPolicy) {
  jobs::SchedulerPolicy policy;
  policy.StopDuration = site.StopGrace;
  namedPolicy.Apply(policy);
  return policy;
}

} // namespace

int main(int argc, char **argv) {
  po::options_description opts("oriolebay-jobs-bench [options]");
  opts.add_options()("help",
                     "this text")("seeds", po::value<int>()->default_value(40),
                                  "number of days simulated for each load")(
      "from", po::value<int>()->default_value(1),
      "first seed")("site", po::value<std::string>()->default_value(""),
                    "only this site: brno, pennington, halls or memory_bound")(
      "load", po::value<double>()->default_value(0),
      "only this load, as a multiple of the usual load")(
      "policy", po::value<std::string>()->default_value("deployed"),
      "policy of the scheduler: see --policies")("policies",
                                                 "lists the policies")(
      "sick", po::value<int>()->default_value(0),
      "number of workers that fail every run for a while in each day")(
      "leaving", po::value<int>()->default_value(0),
      "number of workers that shut down at short notice in each day");
  po::variables_map vm;
  try {
    po::store(po::parse_command_line(argc, argv, opts), vm);
  } catch (const po::error &e) {
    std::cerr << "oriolebay-jobs-bench: " << e.what() << " (see --help)\n";
    return 2;
  }
  if (vm.count("help")) {
    std::cout << opts << '\n';
    return 0;
  }
  if (vm.count("policies")) {
    for (const NamedPolicy &p : policies())
      std::cout << p.Name << ": " << p.Description << '\n';
    return 0;
  }
  std::vector<double> loads = {0.7, 1.0, 1.4};
  if (vm["load"].as<double>() > 0)
    loads = {vm["load"].as<double>()};
  const auto onlySite = vm["site"].as<std::string>();
  const auto *const chosen = findPolicy(vm["policy"].as<std::string>());
  if (chosen == nullptr) {
    std::cerr
        << "oriolebay-jobs-bench: unknown policy; --policies lists them\n";
    return 2;
  }
  const int from = vm["from"].as<int>();
  for (const bench::SiteLoad &site : {bench::brno(), bench::pennington(),
                                      bench::halls(), bench::memoryBound()})
    for (double load : loads) {
      if (!onlySite.empty() && onlySite != site.Name)
        continue;
      LoadSummary summary;
      for (int n = 0; n < vm["seeds"].as<int>(); ++n) {
        bench::DayConditions conditions;
        conditions.Load = load;
        conditions.FailingWorkers = vm["sick"].as<int>();
        conditions.DrainingWorkers = vm["leaving"].as<int>();
        summary.add(bench::simulateDay(site, policyFor(site, *chosen),
                                       static_cast<uint64_t>(from + n),
                                       conditions));
      }
      std::cout << summary.toJson(site, load).dump() << std::endl;
    }
  return 0;
}
