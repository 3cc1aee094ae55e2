#pragma once

#include <absl/time/time.h>

#include <string>
#include <sys/types.h>
#include <vector>

namespace oriolebay::bench {

/// Starts the program args[0], which writes its output to the file out. Throws
/// std::runtime_error if it cannot be started.
pid_t startProcess(const std::vector<std::string> &args,
                   const std::string &out);

/// Waits until the process, a child of this one, has ended. Returns false if it
/// has not by limit.
bool waitForEnd(pid_t pid, absl::Time limit);

} // namespace oriolebay::bench
