#include "peeraddress.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <nng/nng.h>

#include <cstdint>
#include <memory>

namespace oriolebay::endpoints {

namespace {

bool isIpAddress(const char *host) {
  in6_addr parsed = {};
  return inet_pton(AF_INET, host, &parsed) == 1 ||
         inet_pton(AF_INET6, host, &parsed) == 1;
}

bool isPort(const char *text) {
  constexpr int MaxPort = 65535;
  int port = 0;
  return absl::SimpleAtoi(text, &port) && port > 0 && port <= MaxPort;
}

} // namespace

bool isPeerAddress(const std::string &address) {
  nng_url *parsed = nullptr;
  if (nng_url_parse(&parsed, address.c_str()) != 0)
    return false;
  const std::unique_ptr<nng_url, decltype(&nng_url_free)> url(parsed,
                                                              nng_url_free);
  return std::string(url->u_scheme) == "tcp" && isIpAddress(url->u_hostname) &&
         isPort(url->u_port);
}

} // namespace oriolebay::endpoints
