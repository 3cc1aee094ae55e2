// Stand-in for the platform's key-value store, for tests and the load tool.
// Implements the subset of etcd's v3 JSON gateway that oriolebay uses (range,
// put, txn, lease grant, keep-alive and revoke) and a long-poll variant of
// watch. POST /fault simulates an outage, a delay or lost replies; GET /stats
// returns the number of calls by path.
#include "http/httpserver.h"

#include <absl/strings/escaping.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <string>

using nlohmann::json;
using oriolebay::http::HttpRequest;
using oriolebay::http::HttpResponse;

namespace {

struct KeyValue {
  std::string Value;
  int64_t CreateRevision = 0;
  int64_t ModRevision = 0;
  int64_t Lease = 0;
};

struct Event {
  std::string Key;
  KeyValue Kv;
  bool Deleted = false;
};

class Store {
public:
  HttpResponse serve(const HttpRequest &req) {
    if (req.Path == "/fault")
      return setFault(req.Body);
    if (req.Path == "/stats")
      return stats();
    int delayMs = 0;
    bool losesReply = false;
    {
      absl::MutexLock lock(&Mu);
      ++Calls[req.Path];
      if (Outage)
        return {503, R"({"error":"outage"})"};
      delayMs = DelayMs;
      if (LoseReplies > 0 && req.Path != "/v3/watch") {
        --LoseReplies;
        losesReply = true;
      }
    }
    if (delayMs > 0)
      absl::SleepFor(absl::Milliseconds(delayMs));
    json body = json::parse(req.Body, nullptr, false);
    if (body.is_discarded())
      return {400, R"({"error":"body is not JSON"})"};
    HttpResponse res = dispatch(req.Path, body);
    // The call has been carried out; only its reply is lost.
    if (losesReply)
      return {504, R"({"error":"reply lost"})"};
    return res;
  }

private:
  static std::string decodeBase64(const json &j, const char *field) {
    std::string out;
    if (j.contains(field))
      absl::Base64Unescape(j.at(field).get<std::string>(), &out);
    return out;
  }
  static int64_t intField(const json &j, const char *field) {
    if (!j.contains(field))
      return 0;
    return j[field].is_string() ? std::stoll(j[field].get<std::string>())
                                : j[field].get<int64_t>();
  }
  json header() const { return {{"revision", std::to_string(Revision)}}; }
  static json kvJson(const std::string &key, const KeyValue &e) {
    return {{"key", absl::Base64Escape(key)},
            {"value", absl::Base64Escape(e.Value)},
            {"create_revision", std::to_string(e.CreateRevision)},
            {"mod_revision", std::to_string(e.ModRevision)},
            {"lease", std::to_string(e.Lease)}};
  }

  void expireLeases() {
    const absl::Time now = absl::Now();
    for (auto it = Leases.begin(); it != Leases.end();) {
      if (it->second.second > now) {
        ++it;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto &[key, entry] : Data)
        if (entry.Lease == it->first)
          keys.push_back(key);
      for (const std::string &key : keys)
        remove(key);
      it = Leases.erase(it);
    }
  }

  json range(const json &b) {
    const std::string key = decodeBase64(b, "key");
    const std::string end = decodeBase64(b, "range_end");
    const int64_t limit = intField(b, "limit");
    bool more = false;
    json kvs = json::array();
    if (end.empty()) {
      auto it = Data.find(key);
      if (it != Data.end())
        kvs.push_back(kvJson(it->first, it->second));
    } else {
      for (auto it = Data.lower_bound(key); it != Data.end() && it->first < end;
           ++it) {
        more = limit > 0 && static_cast<int64_t>(kvs.size()) >= limit;
        if (more)
          break;
        kvs.push_back(kvJson(it->first, it->second));
      }
    }
    return {{"header", header()},
            {"kvs", kvs},
            {"more", more},
            {"count", std::to_string(kvs.size())}};
  }

  json put(const json &b) {
    const std::string key = decodeBase64(b, "key");
    ++Revision;
    KeyValue &e = Data[key];
    if (e.CreateRevision == 0)
      e.CreateRevision = Revision;
    e.Value = decodeBase64(b, "value");
    e.ModRevision = Revision;
    e.Lease = intField(b, "lease");
    Events.push_back(Event{key, e, false});
    return {{"header", header()}};
  }

  json remove(const std::string &key) {
    const bool existed = Data.erase(key) != 0;
    if (existed) {
      ++Revision;
      Events.push_back(Event{key, KeyValue{"", 0, Revision, 0}, true});
    }
    return {{"deleted", std::to_string(existed ? 1 : 0)}};
  }

  json txn(const json &b) {
    bool ok = true;
    for (const json &c : b.value("compare", json::array())) {
      auto it = Data.find(decodeBase64(c, "key"));
      const bool create = c.value("target", "MOD") == "CREATE";
      int64_t revision = 0;
      if (it != Data.end())
        revision = create ? it->second.CreateRevision : it->second.ModRevision;
      ok = ok &&
           revision == intField(c, create ? "create_revision" : "mod_revision");
    }
    json responses = json::array();
    for (const json &op : b.value(ok ? "success" : "failure", json::array())) {
      if (op.contains("request_put"))
        responses.push_back({{"response_put", put(op["request_put"])}});
      else if (op.contains("request_delete_range"))
        responses.push_back(
            {{"response_delete_range",
              remove(decodeBase64(op["request_delete_range"], "key"))}});
      else if (op.contains("request_range"))
        responses.push_back({{"response_range", range(op["request_range"])}});
    }
    return {{"header", header()}, {"succeeded", ok}, {"responses", responses}};
  }

  HttpResponse dispatch(const std::string &path, const json &b) {
    if (path == "/v3/watch")
      return {200, watch(b.value("create_request", json::object())).dump()};
    absl::MutexLock lock(&Mu);
    expireLeases();
    if (path == "/v3/kv/range")
      return {200, range(b).dump()};
    if (path == "/v3/kv/put")
      return {200, put(b).dump()};
    if (path == "/v3/kv/txn")
      return {200, txn(b).dump()};
    if (path == "/v3/lease/grant") {
      int64_t id = ++NextLease;
      int64_t ttl = intField(b, "TTL");
      Leases[id] = {ttl, absl::Now() + absl::Seconds(ttl)};
      return {200,
              json{{"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}}
                  .dump()};
    }
    if (path == "/v3/lease/revoke") {
      auto it = Leases.find(intField(b, "ID"));
      if (it != Leases.end())
        it->second.second = absl::InfinitePast();
      expireLeases();
      return {200, json{{"header", header()}}.dump()};
    }
    if (path == "/v3/lease/keepalive") {
      auto it = Leases.find(intField(b, "ID"));
      int64_t ttl = 0;
      if (it != Leases.end()) {
        ttl = it->second.first;
        it->second.second = absl::Now() + absl::Seconds(ttl);
      }
      return {200, json{{"result",
                         {{"ID", std::to_string(intField(b, "ID"))},
                          {"TTL", std::to_string(ttl)}}}}
                       .dump()};
    }
    return {404, R"({"error":"unknown path"})"};
  }

  json watch(const json &b) {
    const std::string key = decodeBase64(b, "key");
    const std::string end = decodeBase64(b, "range_end");
    const int64_t from = intField(b, "start_revision");
    const int64_t timeoutMs = std::max<int64_t>(1, intField(b, "timeout_ms"));
    absl::MutexLock lock(&Mu);
    auto matches = [&](const Event &e) {
      return e.Kv.ModRevision >= from && e.Key >= key &&
             (end.empty() ? e.Key == key : e.Key < end);
    };
    auto ready = [&] {
      for (auto it = Events.rbegin();
           it != Events.rend() && it->Kv.ModRevision >= from; ++it)
        if (matches(*it))
          return true;
      return false;
    };
    // Leases also expire while no call arrives: the wait ends at each expiry.
    const absl::Time deadline = absl::Now() + absl::Milliseconds(timeoutMs);
    while (!ready() && absl::Now() < deadline) {
      absl::Time until = deadline;
      for (const auto &[id, lease] : Leases)
        until = std::min(until, lease.second);
      Mu.AwaitWithDeadline(absl::Condition(&ready),
                           std::max(until, absl::Now() + LeaseCheckInterval));
      expireLeases();
    }
    json events = json::array();
    for (const Event &e : Events)
      if (matches(e))
        events.push_back({{"type", e.Deleted ? "DELETE" : "PUT"},
                          {"kv", kvJson(e.Key, e.Kv)}});
    return {{"result", {{"header", header()}, {"events", events}}}};
  }

  HttpResponse setFault(const std::string &body) {
    json b = json::parse(body, nullptr, false);
    if (b.is_discarded())
      return {400, R"({"error":"body is not JSON"})"};
    absl::MutexLock lock(&Mu);
    Outage = b.value("outage", Outage);
    DelayMs = b.value("delay_ms", DelayMs);
    LoseReplies = b.value("lose_replies", LoseReplies);
    return {200, R"({"ok":true})"};
  }

  HttpResponse stats() {
    absl::MutexLock lock(&Mu);
    json calls = json::object();
    int64_t total = 0;
    for (const auto &[path, n] : Calls) {
      calls[path] = n;
      total += n;
    }
    return {200, json{{"calls", calls},
                      {"total", total},
                      {"revision", Revision},
                      {"keys", Data.size()}}
                     .dump()};
  }

  const absl::Duration LeaseCheckInterval = absl::Milliseconds(10);
  absl::Mutex Mu;
  std::map<std::string, KeyValue> Data;
  std::vector<Event> Events;
  std::map<int64_t, std::pair<int64_t, absl::Time>> Leases;
  std::map<std::string, int64_t> Calls;
  int64_t Revision = 0;
  int64_t NextLease = 0;
  bool Outage = false;
  int DelayMs = 0;
  int LoseReplies = 0;
};

} // namespace

int main(int argc, char **argv) {
  int port = argc > 1 ? std::stoi(argv[1]) : 2379;
  std::string ready = argc > 2 ? argv[2] : "";
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  Store store;
  oriolebay::http::HttpServer server(
      "127.0.0.1", port, [&](const HttpRequest &r) { return store.serve(r); },
      512);
  if (!ready.empty()) {
    std::ofstream(ready + ".tmp") << json{{"port", server.port()}}.dump();
    std::rename((ready + ".tmp").c_str(), ready.c_str());
  }
  std::cout << "kv stand-in on 127.0.0.1:" << server.port() << std::endl;
  int sig = 0;
  sigwait(&set, &sig);
  return 0;
}
