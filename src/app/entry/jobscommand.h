#pragma once

#include <string>

namespace oriolebay::entry {

/// Serves jobs that are kept in the store, with the settings at path, until
/// SIGTERM or SIGINT. Returns the process's exit status (2: the settings cannot
/// be used).
int serveJobs(const std::string &path);

} // namespace oriolebay::entry
