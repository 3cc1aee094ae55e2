#pragma once

#include <absl/time/time.h>

#include <string>

namespace oriolebay::testpeers {

/// Time after which a test gives up waiting for the server.
inline constexpr absl::Duration PatienceOfTests = absl::Seconds(20);

/// A client's connection to a server on loopback that sends any bytes and reads
/// only when it is told to.
class RawConnection {
public:
  explicit RawConnection(int port);
  ~RawConnection();
  RawConnection(RawConnection &&other) noexcept;
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  /// Returns false when the server has closed the connection, or takes nothing
  /// until patience has passed.
  bool send(const std::string &text,
            absl::Duration patience = PatienceOfTests) const;
  /// Reads until the text was received, and returns whether it was.
  bool receiveUntil(const std::string &text);
  /// Reads until the server closes the connection, and returns whether it did.
  bool receiveUntilClosed();
  /// Sends the text at each interval until the server closes the connection,
  /// and returns whether it did.
  bool sendUntilClosed(const std::string &text, absl::Duration interval);
  /// Returns what was received so far.
  const std::string &received() const { return Received; }
  /// Returns how many bytes the server's end of the connection, in this
  /// process, has received and not read.
  size_t unreadBytesOfServer() const;
  void clearReceived() { Received.clear(); }

private:
  enum class ReadResult { Data, Closed, TimedOut };
  ReadResult receiveSome(absl::Time end);

  int Socket = -1;
  std::string Received;
};

} // namespace oriolebay::testpeers
