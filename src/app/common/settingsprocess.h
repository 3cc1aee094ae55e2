#pragma once

#include "http/asyncclient.h"
#include "settings/nodesettings.h"
#include "utils/refusedmessage.h"

#include <functional>
#include <string>

namespace oriolebay::app {

/// Builds the process that the settings describe and returns the function that
/// serves until the process is to stop. Throws std::runtime_error if an address
/// of the settings cannot be used.
using StartProcess =
    std::function<std::function<void()>(const settings::NodeSettings &)>;

/// Reads the settings at path, opens the event log, starts the process and
/// serves. Role is "agent" or "entry". Returns the process's exit status: 2 if
/// the settings cannot be used, 1 if an exception ended the serving. Both are
/// printed; an exception is also logged, with its type and what the process was
/// working on.
int runWithSettings(const std::string &role, const std::string &path,
                    const StartProcess &start);

/// Logs an address at which the process listens, or its port; role says for
/// whom.
void logListener(const std::string &role, const std::string &address);
void logListener(const std::string &role, int port);

/// Logs a message of another process that could not be read.
void logRefusedMessage(const utils::RefusedMessage &message);

/// Logs a request whose connection ended before an answer.
void logRepeatedRequest(const http::RepeatedRequest &request);

} // namespace oriolebay::app
