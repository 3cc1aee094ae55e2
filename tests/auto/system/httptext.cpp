#include "httptext.h"

#include <absl/strings/ascii.h>

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace oriolebay::testing_system {

namespace {

const std::string HeadEnd = "\r\n\r\n";
const std::string LengthHeader = "\r\ncontent-length:";

size_t bodyLength(const std::string &head) {
  const std::string lower = absl::AsciiStrToLower(head);
  const size_t at = lower.find(LengthHeader);
  if (at == std::string::npos)
    return 0;
  return std::strtoul(lower.c_str() + at + LengthHeader.size(), nullptr, 10);
}

} // namespace

std::optional<std::string> takeHttpMessage(std::string &arrived) {
  const size_t headEnd = arrived.find(HeadEnd);
  if (headEnd == std::string::npos)
    return std::nullopt;
  const size_t bodyBegin = headEnd + HeadEnd.size();
  const size_t size = bodyBegin + bodyLength(arrived.substr(0, bodyBegin));
  if (arrived.size() < size)
    return std::nullopt;
  std::string message = arrived.substr(0, size);
  arrived.erase(0, size);
  return message;
}

std::string httpBody(const std::string &message) {
  return message.substr(message.find(HeadEnd) + HeadEnd.size());
}

int httpStatus(const std::string &answer) {
  return std::atoi(answer.c_str() + answer.find(' '));
}

int connectLoopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(s, reinterpret_cast<sockaddr *>(&address), sizeof(address)) !=
      0) {
    close(s);
    return -1;
  }
  const int on = 1;
  setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return s;
}

} // namespace oriolebay::testing_system
