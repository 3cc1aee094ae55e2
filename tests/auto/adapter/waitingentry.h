#pragma once

#include "calleradapter.h"
#include "http/asyncclient.h"
#include "utils/eventloop.h"

#include <absl/strings/str_cat.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace oriolebay::adapter {

/// Less than the fifty bodies of a crowd take, and enough for the largest one.
inline constexpr size_t BudgetBytes = 2 << 20;
inline constexpr size_t SmallBytes = BudgetBytes / 4;

inline platform::Store silentStore() {
  platform::Store store;
  store.Get = [](const auto &, const auto &) {};
  store.Range = [](const auto &, const auto &, auto, const auto &) {};
  store.Watch = [](const auto &, auto, auto, const auto &) {};
  store.Transact = [](const auto &, const auto &) {};
  return store;
}

inline jobs::CallAnswer notDone() {
  jobs::CallAnswer answer;
  answer.Result = jobs::CallResult::NotDone;
  return answer;
}

/// An entry without a configuration, whose calls wait for another entry until
/// answerAll().
class WaitingEntry {
public:
  WaitingEntry()
      : Service(
            Loop, Store, View, Config, {},
            [] { return absl::InfiniteFuture(); },
            [] { return absl::ZeroDuration(); }, [] { return false; },
            [] {
              return jobs::JobMemoryLimit{SIZE_MAX, 1};
            },
            [this](const jobs::CallRequest &, const jobs::OnForwarded &done) {
              std::lock_guard<std::mutex> lock(Mu);
              Waiting.push_back(done);
              return true;
            },
            [](const auto &, const auto &) { return false; },
            [](const auto &) {}, [](const auto &) {}),
        Server(Loop, Service, "127.0.0.1", 0,
               [](const utils::RefusedMessage &) {},
               {Budget, [this](const http::RefusedRequest &) { ++Refused; }}),
        LoopThread([this] { Loop.run(); }) {}
  ~WaitingEntry() {
    Loop.stop();
    LoopThread.join();
  }
  WaitingEntry(const WaitingEntry &) = delete;
  WaitingEntry &operator=(const WaitingEntry &) = delete;

  /// Sends a call with an id of its own, whose answer is counted by its status.
  void send(const std::string &method, const std::string &body) {
    http::HttpCall call;
    call.Method = method;
    call.Url = absl::StrCat("http://127.0.0.1:", Server.port(), "/queue/",
                            absl::Hex(++Calls, absl::kZeroPad16));
    call.Body = body;
    call.TimeoutMs = 30000;
    Client.call(call, [this](const http::HttpResult &r) {
      std::lock_guard<std::mutex> lock(Mu);
      ++Statuses[r.Status];
    });
  }
  int port() const { return Server.port(); }
  size_t waiting() {
    std::lock_guard<std::mutex> lock(Mu);
    return Waiting.size();
  }
  int answered(int status) {
    std::lock_guard<std::mutex> lock(Mu);
    return Statuses[status];
  }
  void answerAll() {
    std::vector<jobs::OnForwarded> waiting;
    {
      std::lock_guard<std::mutex> lock(Mu);
      waiting.swap(Waiting);
    }
    Loop.post([waiting] {
      for (const jobs::OnForwarded &done : waiting)
        done(notDone(), false);
    });
  }

  const std::shared_ptr<utils::MemoryBudget> Budget =
      std::make_shared<utils::MemoryBudget>(BudgetBytes, SmallBytes);
  std::atomic<int> Refused{0};

private:
  std::mutex Mu;
  std::vector<jobs::OnForwarded> Waiting;
  std::map<int, int> Statuses;
  int Calls = 0;
  utils::EventLoop Loop{8192};
  const platform::Store Store = silentStore();
  jobs::JobView View{Loop,
                     Store,
                     {},
                     [](const auto &) {},
                     [](const auto &) {},
                     [](const auto &) {},
                     [] {},
                     [](const auto &, const auto &) {},
                     [](auto, const auto &) {}};
  operators::ConfigFollower Config{Loop,
                                   Store,
                                   {},
                                   [](const auto &) {},
                                   [](const auto &) {},
                                   [](const auto &, auto) {},
                                   [](auto, const auto &) {}};
  jobs::JobService Service;
  CallerServer Server;
  std::thread LoopThread;
  http::AsyncClient Client;
};

} // namespace oriolebay::adapter
