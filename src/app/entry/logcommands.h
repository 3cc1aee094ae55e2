#pragma once

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace oriolebay::entry {

/// Adds the options of the commands that read logs.
void addLogOptions(boost::program_options::options_description &opts);

/// `timeline FILE...`: prints the events of all processes in time order. args
/// contains the command and its files. Returns the exit code, which is 1 when
/// no event was found.
int showTimeline(const std::vector<std::string> &args,
                 const boost::program_options::variables_map &vm);

/// `explain JOB FILE...`: prints all events that concern one job in time order.
int explainJob(const std::vector<std::string> &args,
               const boost::program_options::variables_map &vm);

/// `losses FILE...`: prints which jobs were late, failed or were refused, the
/// causes of their time, and the work that was discarded.
int showLosses(const std::vector<std::string> &args,
               const boost::program_options::variables_map &vm);

} // namespace oriolebay::entry
