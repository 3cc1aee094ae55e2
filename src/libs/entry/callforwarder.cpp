#include "callforwarder.h"

#include "utils/eventloop.h"

#include <algorithm>

namespace oriolebay::entry {

namespace {

/// An entry answers within the store's few milliseconds, or within the first
/// try of a store call when an answer was lost (300 ms).
constexpr int AnswerTimeoutMs = 400;
/// An entry that did not answer is not asked again for so long: callers are
/// refused at once meanwhile, unless another one answers.
constexpr absl::Duration SilentFor = absl::Seconds(1);
/// Entries asked for one call.
constexpr size_t MostAsked = 2;

} // namespace

/// A call while other entries are asked.
struct CallForwarder::Exchange {
  endpoints::ForwardedCall Call;
  Done Answer;
  absl::Time Deadline;
  std::vector<std::string> Candidates;
  size_t Asked = 0;
};

CallForwarder::CallForwarder(utils::EventLoop &loop,
                             const endpoints::Peers &peers, Others others)
    : Loop(loop), Peers(peers), OthersNow(std::move(others)) {}

CallForwarder::~CallForwarder() { *Alive = false; }

std::vector<std::string> CallForwarder::candidates() const {
  std::vector<std::string> all = OthersNow();
  all.erase(std::remove_if(all.begin(), all.end(),
                           [this](const std::string &address) {
                             auto it = SilentUntil.find(address);
                             return it != SilentUntil.end() &&
                                    Loop.now() < it->second;
                           }),
            all.end());
  all.resize(std::min(all.size(), MostAsked));
  return all;
}

bool CallForwarder::forward(const endpoints::ForwardedCall &call, Done done) {
  auto exchange = std::make_shared<Exchange>();
  exchange->Call = call;
  exchange->Answer = std::move(done);
  exchange->Deadline = Loop.now() + absl::Milliseconds(call.TimeLeftMs);
  exchange->Candidates = candidates();
  if (exchange->Candidates.empty())
    return false;
  ask(exchange);
  return true;
}

void CallForwarder::ask(const std::shared_ptr<Exchange> &exchange) {
  const absl::Duration left = exchange->Deadline - Loop.now();
  if (exchange->Asked == exchange->Candidates.size() ||
      left <= absl::ZeroDuration()) {
    exchange->Answer(std::nullopt, exchange->Asked > 0);
    return;
  }
  const std::string address = exchange->Candidates[exchange->Asked++];
  exchange->Call.TimeLeftMs = absl::ToInt64Milliseconds(left);
  Peers.Call(address, exchange->Call, AnswerTimeoutMs,
             [this, alive = Alive, exchange,
              address](const std::optional<endpoints::Message> &reply) {
               if (!*alive)
                 return;
               const auto *answer =
                   reply ? std::get_if<endpoints::ForwardedAnswer>(&*reply)
                         : nullptr;
               if (answer != nullptr) {
                 exchange->Answer(*answer, exchange->Asked > 1);
                 return;
               }
               SilentUntil[address] = Loop.now() + SilentFor;
               ask(exchange);
             });
}

} // namespace oriolebay::entry
