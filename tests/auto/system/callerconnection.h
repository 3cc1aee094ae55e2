#pragma once

#include <absl/time/time.h>

#include <string>

namespace oriolebay::testing_system {

/// A call as callers send it to an entry.
struct CallerRequest {
  std::string Method;
  std::string Path;
  std::string Key = "key";
  std::string Body = {};
  /// The caller's deadline; the default is that of an entry.
  absl::Duration Deadline = absl::Seconds(3);
};

/// What a caller got. The status is zero if the connection has ended without a
/// whole answer, or if none came in time.
struct CallerAnswer {
  int Status = 0;
  std::string Body;
  bool IsTimedOut = false;
};

/// A caller's connection to an entry, kept open between calls. It never sends a
/// request twice.
class CallerConnection {
public:
  CallerConnection() = default;
  ~CallerConnection();
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  /// Sends a request to a port on loopback and waits for its answer until grace
  /// after the deadline.
  CallerAnswer call(int port, const CallerRequest &request,
                    absl::Duration grace);

private:
  bool connectTo(int port);
  void disconnect();
  /// The entry has closed the connection, or sent something unasked.
  bool isStale() const;
  CallerAnswer awaitAnswer(absl::Time end);

  int Socket = -1;
  int Port = 0;
};

} // namespace oriolebay::testing_system
