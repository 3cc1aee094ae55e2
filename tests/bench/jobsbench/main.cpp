// Plays days of both sites' load against the job scheduler in memory and prints
// what they came to, as one line of JSON a site and load. Options: --seeds N,
// --from N, --site NAME, --load FACTOR.
#include "siteload.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <cstring>
#include <iostream>

using namespace oriolebay;

int main(int argc, char **argv) {
  int seeds = 40;
  int from = 1;
  std::string only;
  std::vector<double> loads = {0.7, 1.0, 1.4};
  for (int i = 1; i + 1 < argc; i += 2) {
    if (std::strcmp(argv[i], "--seeds") == 0)
      seeds = std::atoi(argv[i + 1]);
    if (std::strcmp(argv[i], "--from") == 0)
      from = std::atoi(argv[i + 1]);
    if (std::strcmp(argv[i], "--site") == 0)
      only = argv[i + 1];
    if (std::strcmp(argv[i], "--load") == 0)
      loads = {std::atof(argv[i + 1])};
  }
  const jobs::SchedulerPolicy policy;
  for (const bench::SiteLoad &site : {bench::brno(), bench::pennington()})
    for (double factor : loads) {
      if (!only.empty() && only != site.Name)
        continue;
      bench::DayResult sum;
      sum.InTimeByKind.assign(site.Kinds.size(), 0);
      for (int seed = from; seed < from + seeds; ++seed) {
        const bench::DayResult day =
            bench::playDay(site, policy, static_cast<uint64_t>(seed), factor);
        sum.Credit += day.Credit / seeds;
        sum.InTime += day.InTime / seeds;
        sum.WastedCoreSeconds += day.WastedCoreSeconds / seeds;
        sum.Starts += day.Starts;
        sum.Violations += day.Violations;
        for (size_t k = 0; k < site.Kinds.size(); ++k)
          sum.InTimeByKind[k] += day.InTimeByKind[k] / seeds;
      }
      nlohmann::json kinds;
      for (size_t k = 0; k < site.Kinds.size(); ++k)
        kinds[site.Kinds[k].Name] =
            std::round(sum.InTimeByKind[k] * 1000) / 1000;
      std::cout
          << nlohmann::json{{"site", site.Name},
                            {"load", factor},
                            {"credit", std::round(sum.Credit * 1000) / 1000},
                            {"in_time", std::round(sum.InTime * 1000) / 1000},
                            {"kinds", kinds},
                            {"wasted_core_s",
                             std::round(sum.WastedCoreSeconds)},
                            {"starts_a_day", sum.Starts / seeds},
                            {"broken", sum.Violations}}
                 .dump()
          << std::endl;
    }
  return 0;
}
