#pragma once

#include <string>

namespace oriolebay::agent {

/// Serves lasting jobs with the settings at path until SIGTERM or SIGINT;
/// returns the process's exit status (2: the settings cannot be used).
int serveJobs(const std::string &path);

} // namespace oriolebay::agent
