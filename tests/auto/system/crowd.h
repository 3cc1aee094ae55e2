#pragma once

#include <absl/time/time.h>

#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace oriolebay::testing_system {

/// What one client of a crowd sends on its connection: the start, the part as
/// often as given, and the end. The connection then stays open.
struct CrowdMessage {
  std::string Start;
  /// Each part is sent by itself.
  std::string Part = {};
  size_t Parts = 0;
  std::string End = {};
  /// Sent in intervals after the end, so that the connection is never idle.
  std::string Trickle = {};
  bool ReadsAnswers = true;

  size_t size() const;
  /// Returns all that is sent up to the end.
  std::string text() const;
  /// Returns the bytes that are to be sent next when so many have been sent;
  /// nothing after the end.
  std::string_view next(size_t sent) const;
};

/// Clients that send and hold their connections, whatever they get. They are
/// driven by one thread and one poll loop, with non-blocking sockets.
class Crowd {
public:
  /// Each message is sent by a client of its own to the port on loopback. Each
  /// client expects so many answers.
  Crowd(int port, std::vector<CrowdMessage> messages, int expectedAnswers = 0);
  ~Crowd();
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// Waits until each client has sent everything and has its answers, or has
  /// been disconnected. Clients that expect no answer need not get on: the wait
  /// ends when no byte has moved for QuietTime.
  void awaitHeld() const;
  /// Closes all connections.
  void leave();
  /// The statuses of the answers that each client has got, in their order. To
  /// be called after leave().
  std::vector<std::vector<int>> statuses() const;

private:
  struct Client {
    CrowdMessage Message;
    int Socket = -1;
    size_t Sent = 0;
    std::string Arrived;
    std::vector<int> Statuses;
  };

  static constexpr absl::Duration QuietTime = absl::Seconds(1);
  static constexpr absl::Duration TrickleInterval = absl::Milliseconds(500);

  void run();
  void connectTo(int port, Client &client);
  void pollOnce();
  void handle(Client &client, short events);
  void send(Client &client);
  void receive(Client &client);
  void trickle();
  bool isDone(const Client &client) const;
  static void disconnect(Client &client);

  const size_t ExpectedAnswers;
  std::vector<Client> Clients;
  std::atomic<bool> Leaving{false};
  std::atomic<int64_t> MovedBytes{0};
  std::atomic<bool> AllDone{false};
  absl::Time NextTrickle;
  std::thread Thread;
};

} // namespace oriolebay::testing_system
