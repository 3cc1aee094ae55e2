#pragma once

#include <string>

namespace oriolebay::endpoints {

/// Returns whether address is of the form "tcp://IP:PORT" with an IPv4 or IPv6
/// address and a port from 1 to 65535.
bool isPeerAddress(const std::string &address);

} // namespace oriolebay::endpoints
