#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace sitekit {

/// A request as a server has read it, or as a client sends it. Names of headers
/// are in lower case.
struct Request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers;
  std::string Body;

  std::string header(const std::string &name) const;
  std::string query(const std::string &name) const;
};

struct Response {
  /// Zero: the connection is closed without an answer.
  int Status = 0;
  std::string Body;
};

/// Serves HTTP/1.1 on a loopback port, with one thread a connection. Lives
/// until the end of the process.
class HttpServer {
public:
  using Handler = std::function<Response(const Request &)>;

  /// Serves on a free port if port is zero.
  explicit HttpServer(Handler handler, int port = 0);

  int port() const { return Port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }
  /// Closes the listening socket and ends all connections.
  void stop();

private:
  void accept();
  void serve(int fd);

  const Handler Handle;
  int ListenFd = -1;
  int Port = 0;
  std::atomic<bool> Stopped{false};
  std::mutex Mu;
  std::set<int> Connections;
};

/// Sends a request on a connection of its own and waits for its answer.
/// Status is zero if there is none within timeoutMs.
Response send(int port, const Request &request, int timeoutMs);

/// Returns a loopback port that nothing listens at.
int freePort();

} // namespace sitekit
