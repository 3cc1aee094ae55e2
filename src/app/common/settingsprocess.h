#pragma once

#include "settings/nodesettings.h"

#include <functional>
#include <string>

namespace oriolebay::app {

/// Reads the settings at path, opens the event log and calls run, which serves
/// until the process is to stop. Role is "agent" or "entry". Returns the
/// process's exit status (2: the settings cannot be used; the error and its
/// remedy are printed).
int runWithSettings(
    const std::string &role, const std::string &path,
    const std::function<void(const settings::NodeSettings &)> &run);

} // namespace oriolebay::app
