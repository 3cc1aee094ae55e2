#pragma once

#include "agent/workeragent.h"
#include "platform/election.h"
#include "utils/eventloop.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolebay::agent {

/// An agent with a leader and a worker that the test simulates.
class AgentFixture {
public:
  AgentFixture() : Loop(1000, utils::EventLoop::Time::Manual) {
    settings::NodeSettings settings;
    settings.Name = "agent";
    endpoints::Peers peers;
    peers.Address = "agent";
    peers.IsAddress = [](const std::string &) { return true; };
    peers.Serve = [this](endpoints::Peers::Handler h) { Handler = h; };
    peers.Call = [this](const std::string &, const endpoints::Message &m, int,
                        const endpoints::Peers::Done &done) {
      Reports.push_back(std::get<endpoints::WorkerReport>(m));
      if (AnswersReports)
        Loop.runAfter(absl::Milliseconds(1),
                      [this, done] { done({endpoints::Message(Ack)}); });
      else
        Loop.runAfter(absl::Milliseconds(400), [done] { done({}); });
    };
    endpoints::WorkerCalls worker;
    worker.Start = [this](const endpoints::StartCall &c, const auto &done) {
      Starts.push_back(c);
      Loop.runAfter(absl::Milliseconds(StartDurationMs),
                    [this, done] { done(StartOutcome); });
    };
    worker.Stop = [this](const endpoints::StopCall &c, const auto &done) {
      Stops.push_back(c);
      Loop.runAfter(absl::Milliseconds(1), [this, done] { done(StopOutcome); });
    };
    worker.KeepAlive = [this](const endpoints::KeepAliveCall &c,
                              const auto &done) {
      KeepAliveCalls.push_back(c);
      endpoints::KeepAliveReply reply;
      reply.Running = Running;
      std::erase_if(Ended, [&](const endpoints::EndedTask &e) {
        return e.Number <= c.SeenUpto;
      });
      reply.Ended = Ended;
      const bool isLongPoll =
          c.WaitMs > 0 && reply.Ended.empty() &&
          KeepAliveOutcome.Status == endpoints::CallStatus::Ok;
      Loop.runAfter(absl::Milliseconds(isLongPoll ? c.WaitMs : 1),
                    [this, done, reply]() mutable {
                      reply.Outcome = KeepAliveOutcome;
                      done(reply);
                    });
    };
    platform::Store store;
    store.Range = [](const std::string &, const std::string &,
                     platform::ReadMode, const auto &done) {
      platform::StorePage page;
      page.Items.push_back({"entries/e",
                            platform::encode(platform::EntryRecord{"entry", 1}),
                            1, 1, 1});
      done({platform::StoreStatus::Ok, page, ""});
    };
    Ack.Epoch = 5;
    Ack.GrantMs = 5500;
    Ack.CordonAgeMs = 0;
    Agent = std::make_unique<WorkerAgent>(Loop, store, peers, worker, settings,
                                          "entries/");
    Agent->start();
    NextHeartbeat.Worker.Life = {"life", 1};
    NextHeartbeat.Worker.Capacity = {32000, 65536, 8};
    sendHeartbeat();
    sendHeartbeatLater();
    Loop.advance(absl::Seconds(1));
  }

  void sendHeartbeat() {
    ++NextHeartbeat.Sequence;
    Agent->onHeartbeat(NextHeartbeat);
  }
  /// Sends heartbeats at the usual interval while the worker answers.
  void sendHeartbeatLater() {
    Loop.runAfter(absl::Milliseconds(1500), [this] {
      if (SendsHeartbeats &&
          KeepAliveOutcome.Status == endpoints::CallStatus::Ok)
        sendHeartbeat();
      sendHeartbeatLater();
    });
  }
  endpoints::Ack sendOrders(const endpoints::WorkerOrders &orders) {
    endpoints::Ack ack;
    Handler(endpoints::Message(orders), [&](const endpoints::Message &reply) {
      ack = std::get<endpoints::Ack>(reply);
    });
    return ack;
  }
  static endpoints::WorkerOrders makeStart(int64_t epoch, int64_t run) {
    endpoints::WorkerOrders o{epoch, {"life", 1}, {}, {}};
    o.Starts.push_back({"j.0.0.0", run, "text", "", ""});
    return o;
  }
  /// Starts the worker again under this id and start time. Nothing runs there.
  void restartWorker(const endpoints::WorkerIncarnation &incarnation) {
    NextHeartbeat.Worker.Life = incarnation;
    NextHeartbeat.Sequence = 0;
    KeepAliveOutcome = okOutcome();
    KeepAliveOutcome.BornMs = incarnation.BornMs;
    Running.clear();
    Ended.clear();
    sendHeartbeat();
  }
  /// Returns how many stops of the run were sent since the last call, and
  /// forgets them.
  size_t takeStopsOf(const endpoints::RunId &run) {
    const std::vector<endpoints::StopCall> calls = std::exchange(Stops, {});
    return static_cast<size_t>(std::count_if(
        calls.begin(), calls.end(), [&](const endpoints::StopCall &call) {
          return call.Order.Task == run.Task && call.Order.Run == run.Run;
        }));
  }
  size_t countStartsOf(const std::string &task) const {
    return static_cast<size_t>(std::count_if(
        Starts.begin(), Starts.end(), [&](const endpoints::StartCall &call) {
          return call.Order.Task == task;
        }));
  }
  std::vector<endpoints::OrderResult> results() const {
    return Reports.empty() ? std::vector<endpoints::OrderResult>()
                           : Reports.back().Results;
  }

  /// Returns the results in all reports so far.
  std::vector<endpoints::OrderResult> allResults() const {
    std::vector<endpoints::OrderResult> all;
    for (const endpoints::WorkerReport &report : Reports)
      all.insert(all.end(), report.Results.begin(), report.Results.end());
    return all;
  }

  /// Returns the outcomes in all reports so far.
  std::set<endpoints::OrderOutcome> reportedOutcomes() const {
    std::set<endpoints::OrderOutcome> outcomes;
    for (const endpoints::WorkerReport &report : Reports)
      for (const endpoints::OrderResult &result : report.Results)
        outcomes.insert(result.Outcome);
    return outcomes;
  }

  utils::EventLoop Loop;
  endpoints::Peers::Handler Handler;
  bool AnswersReports = true;
  bool SendsHeartbeats = true;
  endpoints::ReportAck Ack;
  endpoints::Heartbeat NextHeartbeat;
  endpoints::CallOutcome StartOutcome = okOutcome();
  endpoints::CallOutcome StopOutcome = okOutcome();
  endpoints::CallOutcome KeepAliveOutcome = okOutcome();
  int StartDurationMs = 1;
  std::vector<endpoints::RunningTask> Running;
  /// Ends that the worker lists until the leader has acknowledged them.
  std::vector<endpoints::EndedTask> Ended;
  std::vector<endpoints::StartCall> Starts;
  std::vector<endpoints::StopCall> Stops;
  std::vector<endpoints::KeepAliveCall> KeepAliveCalls;
  std::vector<endpoints::WorkerReport> Reports;
  std::unique_ptr<WorkerAgent> Agent;

  static endpoints::CallOutcome okOutcome() {
    return {endpoints::CallStatus::Ok, endpoints::RefusalReason::None, 7000,
            ""};
  }
};

} // namespace oriolebay::agent
