#pragma once

#include <optional>
#include <string>

namespace oriolebay::testing_system {

/// Takes the first whole HTTP/1.1 message, whose length is given by
/// Content-Length, from the bytes that have arrived. Returns nothing, and
/// leaves the bytes, if it is not complete.
std::optional<std::string> takeHttpMessage(std::string &arrived);

/// Return parts of a whole message.
std::string httpBody(const std::string &message);
int httpStatus(const std::string &answer);

/// Opens a TCP connection to a port on loopback; -1 if it is refused.
int connectLoopback(int port);

} // namespace oriolebay::testing_system
