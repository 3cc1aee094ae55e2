#include "logcommands.h"

#include "eventlog/timeline.h"
#include "losses/lossreport.h"

#include <absl/time/time.h>

#include <fstream>
#include <iostream>

namespace po = boost::program_options;

namespace oriolebay::entry {

using eventlog::EventFilter;
using eventlog::LogContents;
using eventlog::LoggedEvent;

namespace {

constexpr int ExitFound = 0;
constexpr int ExitNothingFound = 1;
constexpr int ExitUsage = 2;

int usage(const std::string &text) {
  std::cerr << "usage: oriolebay-entry " << text << '\n';
  return ExitUsage;
}

std::string valueOf(const po::variables_map &vm, const char *name) {
  return vm.count(name) ? vm[name].as<std::string>() : "";
}

// Parses an option that contains a time. Returns false when it is not a valid
// time.
bool parseTimeOption(const po::variables_map &vm, const char *name,
                     std::optional<int64_t> &out) {
  if (!vm.count(name))
    return true;
  absl::Time time;
  std::string why;
  if (!absl::ParseTime(absl::RFC3339_full, valueOf(vm, name), &time, &why)) {
    std::cerr << "oriolebay-entry: --" << name << " is not a time: " << why
              << " (remedy: write it as 2026-01-31T23:59:59.5Z)\n";
    return false;
  }
  out = absl::ToUnixMicros(time);
  return true;
}

// Prints the number of skipped lines and the files that could not be read.
// Returns false when there are unreadable files, because a time line that lacks
// a process would be misleading.
bool reportUnusedInput(const LogContents &read) {
  if (read.SkippedLines > 0)
    std::cerr << read.SkippedLines << " lines were not events\n";
  for (const std::string &path : read.UnreadableFiles)
    std::cerr << "oriolebay-entry: cannot read " << path
              << " (remedy: give files that this user may read)\n";
  return read.UnreadableFiles.empty();
}

int printEvents(const std::vector<LoggedEvent> &events,
                const po::variables_map &vm) {
  if (events.empty()) {
    std::cerr << "oriolebay-entry: no such event (remedy: give the logs of all "
                 "processes and of the whole time)\n";
    return ExitNothingFound;
  }
  if (vm.count("json"))
    eventlog::printJson(events, std::cout);
  else
    eventlog::printText(events, std::cout);
  return ExitFound;
}

} // namespace

void addLogOptions(po::options_description &opts) {
  opts.add_options()("json", "timeline, explain, losses: print JSON")(
      "process", po::value<std::string>(), "timeline: only this process")(
      "worker", po::value<std::string>(),
      "timeline: only this worker")("organisation", po::value<std::string>(),
                                    "timeline: only this organisation")(
      "event", po::value<std::string>(),
      "timeline: only events with this name prefix, such as run.")(
      "svg", po::value<std::string>(),
      "losses: also draw the lost jobs' time to this file")(
      "from", po::value<std::string>(),
      "timeline: not before, as 2026-01-31T23:59:59Z")(
      "to", po::value<std::string>(), "timeline: not after");
}

int showTimeline(const std::vector<std::string> &args,
                 const po::variables_map &vm) {
  if (args.size() < 2)
    return usage("timeline FILE... [options]");
  EventFilter filter;
  filter.Process = valueOf(vm, "process");
  filter.Worker = valueOf(vm, "worker");
  filter.Organisation = valueOf(vm, "organisation");
  filter.Name = valueOf(vm, "event");
  if (!parseTimeOption(vm, "from", filter.FromUs) ||
      !parseTimeOption(vm, "to", filter.ToUs))
    return ExitUsage;
  const LogContents read = eventlog::readEvents({args.begin() + 1, args.end()});
  if (!reportUnusedInput(read))
    return ExitUsage;
  return printEvents(eventlog::select(read.Events, filter), vm);
}

int explainJob(const std::vector<std::string> &args,
               const po::variables_map &vm) {
  if (args.size() < 3)
    return usage("explain JOB FILE... [--json]");
  const LogContents read = eventlog::readEvents({args.begin() + 2, args.end()});
  if (!reportUnusedInput(read))
    return ExitUsage;
  return printEvents(eventlog::eventsOfJob(args[1], read.Events), vm);
}

int showLosses(const std::vector<std::string> &args,
               const po::variables_map &vm) {
  if (args.size() < 2)
    return usage("losses FILE... [--json] [--svg FILE]");
  const LogContents read = eventlog::readEvents({args.begin() + 1, args.end()});
  if (!reportUnusedInput(read))
    return ExitUsage;
  const losses::SiteHistory site = losses::historyOf(read.Events);
  if (site.Jobs.empty()) {
    std::cerr << "oriolebay-entry: no job in these logs (remedy: give the logs "
                 "of all entries)\n";
    return ExitNothingFound;
  }
  const losses::Losses siteLosses = losses::lossesOf(site);
  if (vm.count("svg")) {
    std::ofstream svg(valueOf(vm, "svg"));
    losses::printSvg(siteLosses, site, svg);
    if (!svg) {
      std::cerr << "oriolebay-entry: cannot write " << valueOf(vm, "svg")
                << " (remedy: name a file that this user may write)\n";
      return ExitUsage;
    }
  }
  if (vm.count("json"))
    std::cout << losses::toJson(siteLosses, site).dump(2) << '\n';
  else
    losses::printText(siteLosses, site, std::cout);
  return ExitFound;
}

} // namespace oriolebay::entry
