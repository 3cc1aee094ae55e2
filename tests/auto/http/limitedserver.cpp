#include "limitedserver.h"

#include "utils/steadyclock.h"

#include <algorithm>
#include <functional>
#include <sstream>
#include <thread>

namespace oriolebay::testpeers {

using http::AsyncServer;
using http::AsyncServerOptions;
using http::HttpRequest;
using http::RefusalReason;
using http::RefusedRequest;

namespace {

constexpr absl::Duration PollInterval = absl::Milliseconds(2);

} // namespace

LimitedServer::LimitedServer(AsyncServerOptions options)
    : LimitedServer(
          std::move(options),
          [](const HttpRequest &request, const AsyncServer::Respond &respond) {
            respond({200, std::to_string(request.Body.size())});
          }) {}

LimitedServer::LimitedServer(AsyncServerOptions options,
                             AsyncServer::Handler handler)
    : Server(watched(std::move(options)), std::move(handler)) {}

AsyncServerOptions LimitedServer::watched(AsyncServerOptions options) {
  options.OnRefused = [this](const RefusedRequest &refused) {
    std::lock_guard<std::mutex> lock(Mu);
    Refusals.push_back(refused.Reason);
  };
  return options;
}

std::vector<RefusalReason> LimitedServer::refusals() {
  std::lock_guard<std::mutex> lock(Mu);
  return Refusals;
}

bool LimitedServer::awaitRefusal(RefusalReason reason) {
  return awaitCondition([this, reason] {
    const std::vector<RefusalReason> reasons = refusals();
    return std::ranges::count(reasons, reason) != 0;
  });
}

bool LimitedServer::servesOrdinaryRequest() const {
  RawConnection caller(port());
  return caller.send(requestText("Content-Length: 2\r\n", "{}")) &&
         caller.receiveUntil("HTTP/1.1 200") &&
         caller.receiveUntil("\r\n\r\n2");
}

bool awaitCondition(const std::function<bool()> &condition) {
  const absl::Time end = utils::steadyNow() + PatienceOfTests;
  while (!condition()) {
    if (utils::steadyNow() > end)
      return false;
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(PollInterval));
  }
  return true;
}

bool awaitEmpty(const utils::MemoryBudget &budget) {
  return awaitCondition([&budget] { return budget.usedBytes() == 0; });
}

bool awaitUsed(const utils::MemoryBudget &budget, size_t bytes) {
  return awaitCondition(
      [&budget, bytes] { return budget.usedBytes() >= bytes; });
}

std::string requestText(const std::string &headers, const std::string &body) {
  return "POST /any HTTP/1.1\r\nHost: test\r\n" + headers + "\r\n" + body;
}

std::string chunkText(size_t bytes) {
  std::ostringstream out;
  out << std::hex << bytes << "\r\n" << std::string(bytes, 'x') << "\r\n";
  return out.str();
}

std::string repeated(const std::string &text, size_t times) {
  std::string out;
  out.reserve(text.size() * times);
  for (size_t i = 0; i < times; ++i)
    out += text;
  return out;
}

} // namespace oriolebay::testpeers
