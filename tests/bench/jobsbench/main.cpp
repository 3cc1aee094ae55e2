// Plays days of both sites' load against the job scheduler in memory and prints
// what they came to, as one line of JSON a site and load.
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

struct Sum {
  bench::DayResult Total;
  double ScoreSquares = 0;
  int Days = 0;

  void add(const bench::DayResult &day) {
    ++Days;
    Total.Score += day.Score;
    ScoreSquares += day.Score * day.Score;
    Total.Earned += day.Earned;
    Total.InTime += day.InTime;
    Total.WastedCoreSeconds += day.WastedCoreSeconds;
    Total.Starts += day.Starts;
    Total.Violations += day.Violations;
    Total.InTimeByKind.resize(day.InTimeByKind.size());
    for (size_t k = 0; k < day.InTimeByKind.size(); ++k)
      Total.InTimeByKind[k] += day.InTimeByKind[k];
  }

  nlohmann::json line(const bench::SiteLoad &site, double load) const {
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
            {"wasted_core_s", std::round(Total.WastedCoreSeconds / Days)},
            {"starts_a_day", Total.Starts / Days},
            {"broken", Total.Violations}};
  }
};

/// A way to decide, to be compared with the deployed one.
struct NamedPolicy {
  const char *Name;
  const char *What;
  std::function<void(jobs::SchedulerPolicy &)> Set;
};

const std::vector<NamedPolicy> &policies() {
  using P = jobs::SchedulerPolicy;
  static const std::vector<NamedPolicy> all = {
      {"deployed", "as the leading entry decides", [](P &) {}},
      {"no_headroom", "no worker is kept empty for urgent work",
       [](P &p) { p.Headroom = 0; }},
      {"half_headroom", "half as many are kept empty",
       [](P &p) { p.Headroom = 0.5; }},
      {"double_headroom", "twice as many are kept empty",
       [](P &p) { p.Headroom = 2; }},
      {"few_kept", "room is kept for two gangs at any size",
       [](P &p) { p.WorkersPerKept = 1 << 20; }},
      {"one_failure", "one failed run keeps a worker out",
       [](P &p) { p.Fleet.FailuresInARow = 1; }},
      {"little_waste", "little work may be thrown away for urgent work",
       [](P &p) { p.WasteForAny = 40; }}};
  return all;
}

const NamedPolicy *findPolicy(const std::string &name) {
  for (const NamedPolicy &p : policies())
    if (name == p.Name)
      return &p;
  return nullptr;
}

jobs::SchedulerPolicy policyFor(const bench::SiteLoad &site,
                                const NamedPolicy &named) {
  jobs::SchedulerPolicy policy;
  policy.StopTakes = site.StopGrace;
  named.Set(policy);
  return policy;
}

} // namespace

int main(int argc, char **argv) {
  po::options_description opts("oriolebay-jobs-bench [options]");
  opts.add_options()("help", "this text")(
      "seeds", po::value<int>()->default_value(40), "days of each load")(
      "from", po::value<int>()->default_value(1),
      "first seed")("site", po::value<std::string>()->default_value(""),
                    "only this site: brno, pennington or halls")(
      "load", po::value<double>()->default_value(0),
      "only this load, in times the usual one")(
      "policy", po::value<std::string>()->default_value("deployed"),
      "how the scheduler decides: see --policies")("policies",
                                                   "lists the policies")(
      "sick", po::value<int>()->default_value(0),
      "workers that fail all that they start for a while in each day")(
      "leaving", po::value<int>()->default_value(0),
      "workers that are taken away at short notice in each day");
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
      std::cout << p.Name << ": " << p.What << '\n';
    return 0;
  }
  std::vector<double> loads = {0.7, 1.0, 1.4};
  if (vm["load"].as<double>() > 0)
    loads = {vm["load"].as<double>()};
  const auto only = vm["site"].as<std::string>();
  const auto *const chosen = findPolicy(vm["policy"].as<std::string>());
  if (chosen == nullptr) {
    std::cerr
        << "oriolebay-jobs-bench: no such policy; --policies lists them\n";
    return 2;
  }
  const int from = vm["from"].as<int>();
  for (const bench::SiteLoad &site :
       {bench::brno(), bench::pennington(), bench::halls()})
    for (double load : loads) {
      if (!only.empty() && only != site.Name)
        continue;
      Sum sum;
      for (int n = 0; n < vm["seeds"].as<int>(); ++n) {
        bench::DayShape shape;
        shape.Load = load;
        shape.Sick = vm["sick"].as<int>();
        shape.Leaving = vm["leaving"].as<int>();
        sum.add(bench::playDay(site, policyFor(site, *chosen),
                               static_cast<uint64_t>(from + n), shape));
      }
      std::cout << sum.line(site, load).dump() << std::endl;
    }
  return 0;
}
