#include "endpoints/peeraddress.h"
#include "endpoints/peers.h"
#include "utils/eventloop.h"
#include "waituntil.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace oriolebay::endpoints {
namespace {

struct AddressCase {
  const char *Name;
  std::string Address;
  bool IsValid;
};

void PrintTo(const AddressCase &c, std::ostream *out) { *out << c.Name; }

class PeerAddresses : public testing::TestWithParam<AddressCase> {};

// Guards against calls to an address that another writer has left among those
// of entries.
TEST_P(PeerAddresses, AreOfTheFormThatCanBeCalled) {
  EXPECT_EQ(isPeerAddress(GetParam().Address), GetParam().IsValid);
}

INSTANTIATE_TEST_SUITE_P(
    Table, PeerAddresses,
    testing::Values(
        AddressCase{"ipv4", "tcp://10.1.0.19:7000", true},
        AddressCase{"ipv6", "tcp://[::1]:7000", true},
        AddressCase{"highest_port", "tcp://10.1.0.19:65535", true},
        AddressCase{"port_out_of_range", "tcp://10.1.0.19:65536", false},
        AddressCase{"port_beyond_all_types",
                    "tcp://10.1.0.19:99999999999999999999", false},
        AddressCase{"negative_port", "tcp://10.1.0.19:-1", false},
        AddressCase{"port_zero", "tcp://10.1.0.19:0", false},
        AddressCase{"no_port", "tcp://10.1.0.19", false},
        AddressCase{"port_is_no_number", "tcp://10.1.0.19:x", false},
        AddressCase{"another_scheme", "http://10.1.0.19:7000", false},
        AddressCase{"no_scheme", "10.1.0.19:7000", false},
        AddressCase{"host_name", "tcp://entry:7000", false},
        AddressCase{"address_of_an_ip_out_of_range", "tcp://10.1.0.999:7000",
                    false},
        AddressCase{"no_host", "tcp://:7000", false},
        AddressCase{"empty", "", false},
        AddressCase{"long", "tcp://" + std::string(60000, '1') + ":7000",
                    false}),
    [](const auto &info) { return info.param.Name; });

// Guards against a caller who waits for the whole timeout of a call that cannot
// be sent.
TEST(Peers, CallToAnAddressThatCannotBeCalledEndsAtOnce) {
  constexpr int LongTimeoutMs = 3600 * 1000;
  utils::EventLoop loop(64);
  std::thread thread([&] { loop.run(); });
  const Peers peers = makeNngPeers(loop, "tcp://127.0.0.1:0",
                                   [](const utils::RefusedMessage &) {});
  std::atomic<int> ended{0};
  std::atomic<bool> isAnySent{false};
  const auto onReply = [&](const PeerReply &reply) {
    isAnySent = isAnySent || !reply.NotSent;
    ++ended;
  };
  loop.post([&] {
    for (const char *address : {"tcp://10.1.0.19:99999", "odd", ""})
      peers.Call(address, StandDown{1}, LongTimeoutMs, onReply);
  });
  testwaits::waitUntil([&] { return ended == 3; });
  EXPECT_FALSE(isAnySent);
  loop.stop();
  thread.join();
}

} // namespace
} // namespace oriolebay::endpoints
