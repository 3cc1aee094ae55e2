// Messages from and to the system's other processes.
#include "jobentry.h"

#include "utils/eventloop.h"

#include <algorithm>
#include <functional>

namespace oriolebay::entry {

using endpoints::Message;

namespace {

constexpr int PeerTimeoutMs = 400;
/// Time for the leader to answer a state call. It covers the time for which the
/// leader waits until the end of a job is recorded. A leader that did not
/// answer is not called again for LeaderRetryDelay.
constexpr int LeaderAnswerTimeoutMs = 250;
constexpr absl::Duration LeaderRetryDelay = absl::Seconds(1);
/// Maximum number of entries that are listed for an agent in addition to the
/// leader: enough for some of them to be available, and few enough to keep the
/// answer small.
constexpr size_t MaxEntriesPerAgent = 6;

} // namespace

// Notifies the leader of a job record that this entry has written.
void JobEntry::onJobWritten(const platform::KeyValue &item) {
  if (Leader.Epoch == 0 || Leader.Mine)
    return;
  // If this message is lost, the leader learns of the job from its watch.
  Peers.Call(Leader.Address,
             endpoints::JobWritten{item.Key, item.Value, item.ModRevision},
             PeerTimeoutMs, [](const endpoints::PeerReply &) {});
}

// The leader comes first: if the store serves any entry, it serves the leader.
std::vector<std::string> JobEntry::otherEntries() const {
  std::vector<std::string> otherAddresses;
  if (!Leader.Mine && !Leader.Address.empty())
    otherAddresses.push_back(Leader.Address);
  for (const std::string &address : Directory.addresses())
    if (address != Peers.Address && address != Leader.Address)
      otherAddresses.push_back(address);
  return otherAddresses;
}

bool JobEntry::forward(const jobs::CallRequest &call,
                       const jobs::OnForwarded &done) {
  return Forwarder->forward(
      jobs::toMessage(call, Loop.now()),
      [done](const std::optional<endpoints::ForwardedAnswer> &answer,
             bool possiblyExecuted) {
        if (answer)
          done(jobs::toAnswer(*answer), possiblyExecuted);
        else
          done(std::nullopt, possiblyExecuted);
      });
}

bool JobEntry::askLeaderForState(const jobs::CallRequest &call,
                                 const jobs::OnLeaderAnswer &done) {
  if (Leader.Epoch == 0 || Leader.Mine || Loop.now() < LeaderRetryTime)
    return false;
  Peers.Call(Leader.Address, jobs::toMessage(call, Loop.now()),
             LeaderAnswerTimeoutMs,
             [this, alive = Alive, done](const endpoints::PeerReply &reply) {
               if (!*alive)
                 return;
               if (!reply.Answer)
                 LeaderRetryTime = Loop.now() + LeaderRetryDelay;
               const auto *answer = reply.get<endpoints::ForwardedAnswer>();
               if (answer != nullptr)
                 done(jobs::toAnswer(*answer));
               else
                 done(std::nullopt);
             });
  return true;
}

// Each agent gets a different selection of entries, so that not all agents turn
// to the same entries when the leader is lost.
std::vector<std::string>
JobEntry::entriesForAgent(const std::string &agent) const {
  std::vector<std::string> addresses = Directory.addresses();
  if (addresses.size() <= MaxEntriesPerAgent)
    return addresses;
  const size_t first = std::hash<std::string>()(agent) % addresses.size();
  std::rotate(addresses.begin(),
              addresses.begin() + static_cast<std::ptrdiff_t>(first),
              addresses.end());
  addresses.resize(MaxEntriesPerAgent);
  return addresses;
}

// Serves a forwarded call like a call of this entry's own callers, but never
// forwards it again.
void JobEntry::onForwarded(const endpoints::ForwardedCall &call,
                           const endpoints::Peers::Respond &respond) {
  utils::handle<bool>(
      [&]() -> utils::Result<bool> {
        BOOST_LEAF_AUTO(request, jobs::toRequest(call, Loop.now()));
        Service->serveForwarded(
            std::move(request),
            [this, respond](const jobs::CallAnswer &answer) {
              jobs::CallAnswer ownAnswer = answer;
              ownAnswer.ServedBy = Peers.Address;
              respond(jobs::toMessage(ownAnswer));
            });
        return true;
      },
      [&](const utils::Error &e) {
        respond(endpoints::Ack{false, e.text()});
        return false;
      });
}

Message JobEntry::onMessage(const Message &message) {
  if (const auto *report = std::get_if<endpoints::WorkerReport>(&message)) {
    endpoints::ReportAck ack;
    if (Session)
      ack = Session->onReport(*report);
    if (!Leader.Mine) {
      ack.Leader = Leader.Address;
      ack.LeaderEpoch = Leader.Epoch;
    }
    ack.Entries = entriesForAgent(report->Agent);
    return ack;
  }
  if (const auto *written = std::get_if<endpoints::JobWritten>(&message)) {
    View->applyItem({written->Key, written->Value, 0, written->Revision, 0});
    return endpoints::Ack{};
  }
  if (const auto *stepDown = std::get_if<endpoints::StandDown>(&message))
    return onStepDownRequest(*stepDown);
  return endpoints::Ack{false, "this entry does not take that message"};
}

} // namespace oriolebay::entry
