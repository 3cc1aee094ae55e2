#include "endpoints/socketcloser.h"

#include <gtest/gtest.h>

#include <absl/synchronization/notification.h>

#include <algorithm>

#include <memory>
#include <vector>

namespace oriolebay::endpoints::Internal {
namespace {

/// A closer whose first close does not end before it is released.
class BlockedCloser {
public:
  BlockedCloser() {
    close(0);
    FirstBegan.WaitForNotification();
  }

  void close(uint32_t id) { Closer->close(nng_socket{id}); }
  /// Returns the sockets that were closed, in order.
  std::vector<uint32_t> release() {
    FirstMayEnd.Notify();
    Closer.reset();
    return Closed;
  }
  const std::vector<size_t> &reportedBacklogs() const { return Backlogs; }

private:
  void closeSocket(nng_socket socket) {
    if (Closed.empty()) {
      FirstBegan.Notify();
      FirstMayEnd.WaitForNotification();
    }
    Closed.push_back(socket.id);
  }

  absl::Notification FirstBegan;
  absl::Notification FirstMayEnd;
  std::vector<uint32_t> Closed;
  std::vector<size_t> Backlogs;
  std::unique_ptr<SocketCloser> Closer = std::make_unique<SocketCloser>(
      [this](nng_socket socket) { closeSocket(socket); },
      [this](size_t waiting) { Backlogs.push_back(waiting); });
};

// Guards against a process that stands still for good, because its event loop
// waits for a socket to close.
TEST(SocketCloser, CloseThatDoesNotEndBlocksNoCaller) {
  BlockedCloser closer;
  closer.close(1);
  closer.close(2);
  EXPECT_EQ(closer.release(), (std::vector<uint32_t>{0, 1, 2}));
}

struct BacklogCase {
  const char *Name;
  size_t Waiting;
  std::vector<size_t> Reported;
};

void PrintTo(const BacklogCase &c, std::ostream *out) { *out << c.Name; }

class SocketBacklogs : public testing::TestWithParam<BacklogCase> {};

// Guards against sockets that pile up unnoticed, and against a report of each.
TEST_P(SocketBacklogs, AreReportedOnce) {
  BlockedCloser closer;
  for (size_t n = 1; n <= GetParam().Waiting; ++n)
    closer.close(static_cast<uint32_t>(n));
  EXPECT_EQ(closer.reportedBacklogs(), GetParam().Reported);
  const size_t kept = std::min(GetParam().Waiting, SocketCloser::MaxWaiting);
  EXPECT_EQ(closer.release().size(), 1 + kept);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SocketBacklogs,
    testing::Values(BacklogCase{"few", 31, {}}, BacklogCase{"many", 32, {32}},
                    BacklogCase{"more", 40, {32}},
                    BacklogCase{"full", 1024, {32, 1024}},
                    BacklogCase{"more_than_can_wait", 1030, {32, 1024}}),
    [](const auto &info) { return info.param.Name; });

} // namespace
} // namespace oriolebay::endpoints::Internal
