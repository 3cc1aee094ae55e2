#pragma once

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace oriolebay::app {

/// Parses the command line into vm. On a mistake prints it with the remedy
/// under program's name and returns false; the caller then exits with 2.
bool parseCommandLine(
    int argc, char **argv, const std::string &program,
    const boost::program_options::options_description &opts,
    const boost::program_options::positional_options_description &pos,
    boost::program_options::variables_map &vm);

/// Blocks SIGTERM, SIGINT and SIGHUP in every thread started after this call,
/// so that only waitForStop() or a SignalThread sees them, and ignores SIGPIPE.
/// Call first in main().
void blockStopSignals();

/// Waits for SIGTERM or SIGINT. Once a second it calls sample() and exports
/// the numeric fields of what it returns as Prometheus gauges on
/// 127.0.0.1:metricsPort (no exporter when metricsPort is 0).
void waitForStop(int metricsPort, const std::string &prefix,
                 const std::function<nlohmann::json()> &sample);

/// Writes text to path (when path is not empty) through a temporary file, so
/// that a reader never sees half of it.
void writeReadyFile(const std::string &path, const nlohmann::json &text);

} // namespace oriolebay::app
