// A stand-in for the platform's key-value store, as the users' pages describe
// it. Each process of the system gets an address of its own, so that a case can
// treat them differently.
#pragma once

#include "net.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstring>

namespace review {

using nlohmann::json;

inline std::string base64(const std::string &bytes) {
  static const char *const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k)
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<uint8_t>(bytes[i + k]) : 0);
    for (size_t k = 0; k < 4; ++k)
      out += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

inline std::string fromBase64(const std::string &text) {
  std::string out;
  uint32_t group = 0;
  int bits = 0;
  for (char c : text) {
    const auto *const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const char *const at = std::strchr(digits, c);
    if (c == '=' || at == nullptr)
      break;
    group = group << 6 | static_cast<uint32_t>(at - digits);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(group >> bits & 0xff);
    }
  }
  return out;
}

/// What happens to a call.
struct StoreFault {
  /// The call is carried out and gets no answer; its connection stays silent.
  bool LoseAnswer = false;
  /// Delay between carrying the call out and its answer.
  int64_t AnswerDelayMs = 0;
};

class Store {
public:
  /// Decides the fault of a call by the process with the given name.
  using OnCall =
      std::function<StoreFault(const std::string &who, const HttpRequest &)>;

  Store() {
    std::thread([this] {
      while (true) {
        sleepMs(20);
        expireLeases();
      }
    }).detach();
  }

  void setFaults(OnCall onCall) {
    std::lock_guard<std::mutex> lock(FaultMu);
    Fault = std::move(onCall);
  }

  /// Serves a process of the system at port.
  void listen(const std::string &who, int port) {
    Servers[who] = std::make_unique<HttpServer>(
        port, [this, who](const HttpRequest &r) { return serve(who, r); });
  }
  void silenceOpenConnections(const std::string &who) {
    Servers.at(who)->silenceOpenConnections();
  }

  /// A write of the operator. Returns when it is confirmed.
  void put(const std::string &key, const std::string &value) {
    std::lock_guard<std::mutex> lock(Mu);
    putLocked(key, base64(value), 0);
  }
  bool has(const std::string &key) {
    std::lock_guard<std::mutex> lock(Mu);
    return Items.count(key) != 0;
  }
  /// The value of the key; empty if it does not exist.
  std::string value(const std::string &key) {
    std::lock_guard<std::mutex> lock(Mu);
    auto it = Items.find(key);
    return it == Items.end() ? "" : fromBase64(it->second.Value);
  }

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
    std::optional<Item> Written;
  };
  struct Lease {
    int64_t TtlMs = 0;
    int64_t EndsAt = 0;
  };

  std::optional<HttpResponse> serve(const std::string &who,
                                    const HttpRequest &r) {
    OnCall fault;
    {
      std::lock_guard<std::mutex> lock(FaultMu);
      fault = Fault;
    }
    const StoreFault f = fault ? fault(who, r) : StoreFault{};
    const HttpResponse response = dispatch(r);
    sleepMs(f.AnswerDelayMs);
    if (f.LoseAnswer)
      return std::nullopt;
    return response;
  }

  HttpResponse dispatch(const HttpRequest &r) {
    const auto is = [&r](const char *method, const std::string &prefix) {
      return r.Method == method && r.Path.rfind(prefix, 0) == 0;
    };
    if (is("GET", "/-/kv-key"))
      return get(r.query("key"));
    if (is("GET", "/-/kv-range"))
      return range(r.query("prefix"), r.query("after"));
    if (is("GET", "/-/kv-watch"))
      return watch(r.query("prefix"), std::atoll(r.query("after").c_str()),
                   std::atoll(r.query("waitMs").c_str()));
    if (is("POST", "/-/kv-txn"))
      return transact(json::parse(r.Body));
    if (is("POST", "/-/kv-lease"))
      return grant(json::parse(r.Body).at("ttlMs"));
    if (is("POST", "/-/kv-keep/"))
      return keep(std::atoll(r.Path.substr(11).c_str()));
    if (is("DELETE", "/-/kv-lease-end/"))
      return end(std::atoll(r.Path.substr(16).c_str()));
    return {400, "{}"};
  }

  static json toJson(const std::string &key, const Item &item) {
    return {{"key", key},
            {"value", item.Value},
            {"revision", item.Revision},
            {"created", item.Created},
            {"lease", item.Lease}};
  }

  void putLocked(const std::string &key, const std::string &value,
                 int64_t lease) {
    Item &item = Items[key];
    ++Revision;
    item.Value = value;
    item.Revision = Revision;
    if (item.Created == 0)
      item.Created = Revision;
    item.Lease = lease;
    History.push_back({key, Revision, item});
    Changed.notify_all();
  }

  void removeLocked(const std::string &key) {
    if (Items.erase(key) == 0)
      return;
    History.push_back({key, ++Revision, std::nullopt});
    Changed.notify_all();
  }

  HttpResponse get(const std::string &key) {
    std::lock_guard<std::mutex> lock(Mu);
    auto it = Items.find(key);
    if (it == Items.end())
      return {404, "{}"};
    json body = toJson(key, it->second);
    body["storeRevision"] = Revision;
    return {200, body.dump()};
  }

  HttpResponse range(const std::string &prefix, const std::string &after) {
    std::lock_guard<std::mutex> lock(Mu);
    json items = json::array();
    for (auto it = Items.lower_bound(prefix);
         it != Items.end() && it->first.rfind(prefix, 0) == 0; ++it)
      if (it->first > after)
        items.push_back(toJson(it->first, it->second));
    return {200, json{{"items", items},
                      {"morePages", false},
                      {"storeRevision", Revision}}
                     .dump()};
  }

  HttpResponse watch(const std::string &prefix, int64_t after, int64_t waitMs) {
    std::unique_lock<std::mutex> lock(Mu);
    json events = json::array();
    Changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
      for (const Event &e : History)
        if (e.Revision > after && e.Key.rfind(prefix, 0) == 0)
          return true;
      return false;
    });
    for (const Event &e : History)
      if (e.Revision > after && e.Key.rfind(prefix, 0) == 0)
        events.push_back(e.Written ? toJson(e.Key, *e.Written)
                                   : json{{"key", e.Key},
                                          {"revision", e.Revision},
                                          {"tombstone", true}});
    return {200, json{{"events", events}, {"storeRevision", Revision}}.dump()};
  }

  HttpResponse transact(const json &txn) {
    std::lock_guard<std::mutex> lock(Mu);
    bool holds = true;
    json current = json::array();
    for (const json &e : txn.value("expected", json::array())) {
      const std::string key = e.at("key");
      auto it = Items.find(key);
      const int64_t revision = it == Items.end() ? 0 : it->second.Revision;
      holds = holds && revision == e.at("revision").get<int64_t>();
      if (it != Items.end())
        current.push_back(toJson(key, it->second));
    }
    if (!holds)
      return {412, json{{"items", current}}.dump()};
    for (const json &p : txn.value("puts", json::array()))
      if (p.value("lease", int64_t{0}) != 0 &&
          Leases.count(p["lease"].get<int64_t>()) == 0)
        return {404, "{}"};
    for (const json &p : txn.value("puts", json::array()))
      putLocked(p.at("key"), p.value("value", ""),
                p.value("lease", int64_t{0}));
    for (const json &key : txn.value("remove", json::array()))
      removeLocked(key);
    return {200, json{{"revision", Revision}}.dump()};
  }

  HttpResponse grant(int64_t ttlMs) {
    std::lock_guard<std::mutex> lock(Mu);
    const int64_t id = ++LastLease;
    Leases[id] = {ttlMs, steadyMs() + ttlMs};
    return {200, json{{"lease", id}, {"ttlMs", ttlMs}}.dump()};
  }

  HttpResponse keep(int64_t id) {
    std::lock_guard<std::mutex> lock(Mu);
    auto it = Leases.find(id);
    if (it == Leases.end())
      return {404, "{}"};
    it->second.EndsAt = steadyMs() + it->second.TtlMs;
    return {200, json{{"lease", id}, {"ttlMs", it->second.TtlMs}}.dump()};
  }

  HttpResponse end(int64_t id) {
    {
      std::lock_guard<std::mutex> lock(Mu);
      auto it = Leases.find(id);
      if (it == Leases.end())
        return {404, "{}"};
      it->second.EndsAt = 0;
    }
    expireLeases();
    return {200, "{}"};
  }

  void expireLeases() {
    std::lock_guard<std::mutex> lock(Mu);
    const int64_t now = steadyMs();
    for (auto it = Leases.begin(); it != Leases.end();) {
      if (it->second.EndsAt > now) {
        ++it;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto &[key, item] : Items)
        if (item.Lease == it->first)
          keys.push_back(key);
      for (const std::string &key : keys)
        removeLocked(key);
      it = Leases.erase(it);
    }
  }

  std::mutex FaultMu;
  OnCall Fault;
  std::mutex Mu;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::map<int64_t, Lease> Leases;
  int64_t Revision = 1;
  int64_t LastLease = 0;
  std::map<std::string, std::unique_ptr<HttpServer>> Servers;
};

} // namespace review
