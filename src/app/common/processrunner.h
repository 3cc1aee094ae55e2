#pragma once

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace oriolebay::app {

/// Parses the command line into vm. On an error, prints it with its remedy and
/// the name of program and returns false; the caller then exits with status 2.
bool parseCommandLine(
    int argc, char **argv, const std::string &program,
    const boost::program_options::options_description &opts,
    const boost::program_options::positional_options_description &pos,
    boost::program_options::variables_map &vm);

/// Blocks SIGTERM, SIGINT, SIGHUP and SIGUSR1 in all threads that are started
/// after this call, so that only waitForStop() or a SignalThread receives them,
/// and ignores SIGPIPE. Must be called first in main().
void blockStopSignals();

/// Waits for SIGTERM or SIGINT. Calls sample() once a second and exports the
/// numeric fields of its result as Prometheus gauges on 127.0.0.1:metricsPort
/// (there is no exporter when metricsPort is 0).
void waitForStop(int metricsPort, const std::string &prefix,
                 const std::function<nlohmann::json()> &sample);

/// Writes text to path (when path is not empty) through a temporary file, so
/// that a reader never sees a partial file.
void writeReadyFile(const std::string &path, const nlohmann::json &text);

} // namespace oriolebay::app
