#pragma once

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace oriolebay::entry {

/// Adds the options of the commands that read logs.
void addLogOptions(boost::program_options::options_description &opts);

/// `timeline FILE...`: the events of all processes in time order. Words are
/// the command and its files. Returns the exit code: 1 when nothing was found.
int showTimeline(const std::vector<std::string> &words,
                 const boost::program_options::variables_map &vm);

/// `explain JOB FILE...`: all that concerns one job, in time order.
int explainJob(const std::vector<std::string> &words,
               const boost::program_options::variables_map &vm);

/// "losses FILE...": which jobs came late, failed or were refused, what their
/// time went to, and what work was thrown away.
int showLosses(const std::vector<std::string> &words,
               const boost::program_options::variables_map &vm);

} // namespace oriolebay::entry
