#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace sitekit {

/// The platform's metadata store, as PROTOCOL.md describes it, in memory.
class Store {
public:
  explicit Store(Record &log);

  std::string address() const { return Server->address(); }
  /// Writes a key as the operator.
  void put(const std::string &key, const nlohmann::json &value);

private:
  struct Item {
    std::string Value;
    int64_t Revision = 0;
    int64_t Created = 0;
    int64_t Lease = 0;
  };
  struct Event {
    std::string Key;
    int64_t Revision = 0;
    bool Removed = false;
    Item Written;
  };
  struct Lease {
    int64_t TtlMs = 0;
    int64_t EndsAt = 0;
  };

  Response serve(const Request &request);
  Response get(const Request &request);
  Response range(const Request &request);
  Response watch(const Request &request);
  Response transact(const nlohmann::json &body);
  Response grantLease(const nlohmann::json &body);
  Response keepLease(int64_t id);
  Response endLease(int64_t id);
  void putLocked(const std::string &key, const std::string &value,
                 int64_t lease, int64_t revision);
  void removeLocked(const std::string &key, int64_t revision);
  void removeLeaseLocked(int64_t id);
  void expireLeases();
  static nlohmann::json toJson(const std::string &key, const Item &item);

  Record &Log;
  std::mutex Mu;
  std::condition_variable Changed;
  int64_t Revision = 100;
  int64_t LastLease = 77000;
  std::map<std::string, Item> Items;
  std::map<int64_t, Lease> Leases;
  std::deque<Event> Events;
  std::unique_ptr<HttpServer> Server;
};

} // namespace sitekit
