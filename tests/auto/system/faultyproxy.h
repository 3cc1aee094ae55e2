#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>

namespace oriolebay::testing_system {

/// What a proxy does with one request.
enum class ProxyFault {
  /// Passes the request and its answer on.
  None,
  /// Closes the connection; the request is not passed on.
  CloseBefore,
  /// The request is carried out, and the connection closed without an answer.
  CloseAfter,
  /// The same, with a reset of the connection.
  ResetAfter,
  /// The request is carried out, and the connection closed in the middle of the
  /// answer.
  CutAnswer,
  /// The request is carried out, and nothing is sent on the connection any
  /// more.
  StaySilent,
  /// Answers with status 503 and does not pass the request on.
  Refuse
};
const char *proxyFaultName(ProxyFault fault);

struct ProxyRequest {
  std::string Method;
  /// Path and query as they were sent.
  std::string Target;
  std::string Body;
};

/// A proxy on loopback between one client and an HTTP server, with one thread.
/// Passes on whole requests and whole answers, with a connection to the server
/// for each connection of the client.
class FaultyProxy {
public:
  /// Decides what happens to a request. Called on the proxy's thread.
  using Decide = std::function<ProxyFault(const ProxyRequest &)>;

  FaultyProxy(int serverPort, Decide decide);
  ~FaultyProxy();
  FaultyProxy(const FaultyProxy &) = delete;
  FaultyProxy &operator=(const FaultyProxy &) = delete;

  int port() const { return Port; }

private:
  /// One end of a connection.
  struct Stream {
    int Socket = -1;
    std::string Arrived;
    std::string ToSend;
  };
  struct Connection {
    Stream Client;
    Stream Server;
    /// That of the request that is being carried out.
    ProxyFault Fault = ProxyFault::None;
    bool AwaitsAnswer = false;
    bool IsSilent = false;
    bool ClosesOnceSent = false;
    bool IsClosed = false;
  };

  void run();
  void acceptClient();
  void handle(Connection &connection);
  void takeRequests(Connection &connection);
  void passOn(Connection &connection, std::string request);
  void onAnswer(Connection &connection, const std::string &answer);
  static void close(Connection &connection);
  static void reset(Connection &connection);

  const int ServerPort;
  const Decide DecideFault;
  int Listener = -1;
  int Port = 0;
  int WakeUp = -1;
  std::atomic<bool> Stopping{false};
  std::list<Connection> Connections;
  std::thread Thread;
};

} // namespace oriolebay::testing_system
