#pragma once

#include "http/asyncserver.h"
#include "rawconnection.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace oriolebay::testpeers {

/// A server under test that answers each request with the size of its body, and
/// stores why it refused others.
class LimitedServer {
public:
  explicit LimitedServer(http::AsyncServerOptions options);
  /// Gives the requests to a handler of the test.
  LimitedServer(http::AsyncServerOptions options,
                http::AsyncServer::Handler handler);

  int port() const { return Server.port(); }
  /// Returns the reasons of all refusals so far.
  std::vector<http::RefusalReason> refusals();
  /// Waits until a request was refused for the reason, and returns whether one
  /// was.
  bool awaitRefusal(http::RefusalReason reason);
  /// Returns whether an ordinary request on a connection of its own is
  /// answered.
  bool servesOrdinaryRequest() const;

private:
  http::AsyncServerOptions watched(http::AsyncServerOptions options);

  std::mutex Mu;
  std::vector<http::RefusalReason> Refusals;
  http::AsyncServer Server;
};

/// Waits until the condition is met, and returns whether it was.
bool awaitCondition(const std::function<bool()> &condition);
/// Waits until nothing is reserved, and returns whether that came.
bool awaitEmpty(const utils::MemoryBudget &budget);
/// Does the same until at least so many bytes are reserved.
bool awaitUsed(const utils::MemoryBudget &budget, size_t bytes);
/// Returns the text of a POST with these headers, each with its line end.
std::string requestText(const std::string &headers,
                        const std::string &body = "");
/// Returns the text of one chunk of the given size.
std::string chunkText(size_t bytes);
/// Returns the text that often.
std::string repeated(const std::string &text, size_t times);

} // namespace oriolebay::testpeers
