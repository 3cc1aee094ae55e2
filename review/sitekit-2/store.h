#pragma once

#include "http.h"

#include <deque>
#include <set>

namespace sitekit {

/// The platform's metadata store, as PROTOCOL.md describes it.
class Store {
public:
  enum class Mode {
    Serving,
    /// Answers all calls with 503 and does nothing; leases pause.
    Busy,
    /// Answers nothing; leases pause.
    Silent,
  };

  explicit Store(Loop &loop);

  int port() const { return Http.port(); }
  /// Writes a key as the operator does. Returns the revision.
  int64_t put(const std::string &key, const std::string &value);
  /// Removes a key as the operator does.
  void remove(const std::string &key);
  std::string value(const std::string &key) const;
  void setMode(Mode mode);
  /// The delay with which a write is carried out, which then gets no answer;
  /// negative for writes that are carried out and answered at once.
  std::function<int64_t(const json &txn)> LateBy;

private:
  struct Item {
    std::string Value;
    int64_t Revision = 0;
    int64_t Created = 0;
    int64_t Lease = 0;
  };
  struct Change {
    int64_t Revision = 0;
    std::string Key;
    bool Removed = false;
    Item Now;
  };
  struct Lease {
    int64_t TtlMs = 0;
    int64_t EndsAt = 0;
  };
  struct Watch {
    std::string Prefix;
    int64_t After = 0;
    int64_t EndsAt = 0;
    Respond Answer;
  };

  void serve(const Request &request, const Respond &respond);
  void carryOut(const Request &request, const Respond &respond);
  void range(const Request &request, const Respond &respond);
  void watch(const Request &request, const Respond &respond);
  void transact(const json &txn, const Respond &respond);
  void grantLease(const json &body, const Respond &respond);
  void keepLease(int64_t id, const Respond &respond);
  void endLease(int64_t id);
  void putItem(const std::string &key, const std::string &value, int64_t lease,
               int64_t revision);
  void removeItem(const std::string &key, int64_t revision);
  void expireLeases();
  void tick();
  void answerWatches();
  json eventsAfter(const std::string &prefix, int64_t after) const;
  static json itemBody(const std::string &key, const Item &item);

  Loop &EventLoop;
  Mode CurrentMode = Mode::Serving;
  int64_t PausedSince = 0;
  int64_t Revision = 100;
  int64_t NextLease = 1;
  std::map<std::string, Item> Items;
  std::map<int64_t, Lease> Leases;
  std::deque<Change> History;
  std::vector<Watch> Watches;
  Server Http;
};

} // namespace sitekit
