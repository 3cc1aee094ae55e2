#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace sitekit {

using nlohmann::json;

namespace {

constexpr int64_t MinTtlMs = 1000;
constexpr int64_t MaxTtlMs = 600000;
constexpr int64_t MaxWaitMs = 30000;
constexpr size_t MaxTxnEntries = 32;
constexpr size_t PageItems = 500;
constexpr size_t PageBytes = 1 << 20;
constexpr size_t HistoryEvents = 20000;

const std::string Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode64(const std::string &bytes) {
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t n = std::min<size_t>(3, bytes.size() - i);
    for (size_t j = 0; j < 3; ++j)
      group =
          group << 8 | (j < n ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    for (size_t j = 0; j < 4; ++j)
      out += j <= n ? Digits[group >> (18 - 6 * j) & 63] : '=';
  }
  return out;
}

std::string decode64(const std::string &text) {
  std::string out;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const size_t digit = Digits.find(c);
    if (digit == std::string::npos)
      break;
    group = group << 6 | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(group >> bits & 255);
    }
  }
  return out;
}

bool startsWith(const std::string &text, const std::string &prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

bool isOperatorsKey(const std::string &key) {
  return startsWith(key, "op/") || startsWith(key, "servers/");
}

Response answer(int status, const json &body = json::object()) {
  return {status, body.dump()};
}

} // namespace

Store::Store(Record &log) : Log(log) {
  Server = std::make_unique<HttpServer>(
      [this](const Request &request) { return serve(request); });
  std::thread([this] {
    while (true) {
      sleepMs(20);
      expireLeases();
    }
  }).detach();
}

Response Store::serve(const Request &request) {
  const std::string &path = request.Path;
  if (path == "/-/kv-key")
    return get(request);
  if (path == "/-/kv-range")
    return range(request);
  if (path == "/-/kv-watch")
    return watch(request);
  const json body = json::parse(request.Body, nullptr, false);
  if (path == "/-/kv-txn" && body.is_object())
    return transact(body);
  if (path == "/-/kv-lease" && body.is_object())
    return grantLease(body);
  const int64_t id = std::atoll(path.c_str() + path.rfind('/') + 1);
  if (startsWith(path, "/-/kv-keep/"))
    return keepLease(id);
  if (startsWith(path, "/-/kv-lease-end/"))
    return endLease(id);
  return answer(400);
}

json Store::toJson(const std::string &key, const Item &item) {
  return {{"key", key},
          {"value", encode64(item.Value)},
          {"revision", item.Revision},
          {"created", item.Created},
          {"lease", item.Lease}};
}

Response Store::get(const Request &request) {
  std::lock_guard<std::mutex> lock(Mu);
  auto it = Items.find(request.query("key"));
  if (it == Items.end())
    return answer(404);
  json body = toJson(it->first, it->second);
  body["storeRevision"] = Revision;
  return answer(200, body);
}

Response Store::range(const Request &request) {
  std::lock_guard<std::mutex> lock(Mu);
  const std::string prefix = request.query("prefix");
  const std::string after = request.query("after");
  json items = json::array();
  size_t bytes = 0;
  bool more = false;
  for (auto it = Items.lower_bound(prefix);
       it != Items.end() && startsWith(it->first, prefix); ++it) {
    if (it->first <= after)
      continue;
    if (items.size() >= PageItems || bytes >= PageBytes) {
      more = true;
      break;
    }
    bytes += it->second.Value.size();
    items.push_back(toJson(it->first, it->second));
  }
  return answer(
      200,
      {{"items", items}, {"morePages", more}, {"storeRevision", Revision}});
}

Response Store::watch(const Request &request) {
  const std::string prefix = request.query("prefix");
  const int64_t after = std::atoll(request.query("after").c_str());
  const int64_t waitMs =
      std::min<int64_t>(MaxWaitMs, std::atoll(request.query("waitMs").c_str()));
  json events = json::array();
  std::unique_lock<std::mutex> lock(Mu);
  if (!Events.empty() && after < Events.front().Revision - 1 &&
      Events.size() >= HistoryEvents)
    return answer(410);
  const auto collect = [&] {
    for (const Event &event : Events) {
      if (event.Revision <= after || !startsWith(event.Key, prefix))
        continue;
      events.push_back(event.Removed ? json{{"key", event.Key},
                                            {"revision", event.Revision},
                                            {"tombstone", true}}
                                     : toJson(event.Key, event.Written));
    }
    return !events.empty();
  };
  Changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
  return answer(200, {{"events", events}, {"storeRevision", Revision}});
}

Response Store::transact(const json &body) {
  const json expected = body.value("expected", json::array());
  const json puts = body.value("puts", json::array());
  const json removes = body.value("remove", json::array());
  if (expected.size() + puts.size() + removes.size() > MaxTxnEntries)
    return answer(400);
  for (const json &put : puts)
    if (isOperatorsKey(put.at("key").get<std::string>()))
      return answer(403);
  std::lock_guard<std::mutex> lock(Mu);
  bool holds = true;
  json current = json::array();
  for (const json &row : expected) {
    auto it = Items.find(row.at("key").get<std::string>());
    const int64_t revision = it == Items.end() ? 0 : it->second.Revision;
    holds = holds && revision == row.at("revision").get<int64_t>();
    if (it != Items.end())
      current.push_back(toJson(it->first, it->second));
  }
  if (!holds)
    return answer(412, {{"items", current}});
  for (const json &put : puts)
    if (const int64_t lease = put.value("lease", int64_t{0});
        lease != 0 && Leases.count(lease) == 0)
      return answer(404);
  if (!puts.empty() || !removes.empty())
    ++Revision;
  for (const json &put : puts)
    putLocked(put.at("key"), decode64(put.at("value")),
              put.value("lease", int64_t{0}), Revision);
  for (const json &key : removes)
    removeLocked(key, Revision);
  Changed.notify_all();
  return answer(200, {{"revision", Revision}});
}

Response Store::grantLease(const json &body) {
  std::lock_guard<std::mutex> lock(Mu);
  const int64_t ttl =
      std::clamp(body.value("ttlMs", MinTtlMs), MinTtlMs, MaxTtlMs);
  Leases[++LastLease] = {ttl, nowMs() + ttl};
  return answer(200, {{"lease", LastLease}, {"ttlMs", ttl}});
}

Response Store::keepLease(int64_t id) {
  std::lock_guard<std::mutex> lock(Mu);
  auto it = Leases.find(id);
  if (it == Leases.end())
    return answer(404);
  it->second.EndsAt = nowMs() + it->second.TtlMs;
  return answer(200, {{"ttlMs", it->second.TtlMs}});
}

Response Store::endLease(int64_t id) {
  std::lock_guard<std::mutex> lock(Mu);
  if (Leases.count(id) == 0)
    return answer(404);
  removeLeaseLocked(id);
  return answer(200);
}

void Store::put(const std::string &key, const json &value) {
  std::lock_guard<std::mutex> lock(Mu);
  putLocked(key, value.dump(), 0, ++Revision);
  Changed.notify_all();
  Log.write("operator: wrote " + key + ", revision " +
            std::to_string(Revision));
}

void Store::putLocked(const std::string &key, const std::string &value,
                      int64_t lease, int64_t revision) {
  Item &item = Items[key];
  item.Value = value;
  item.Lease = lease;
  item.Revision = revision;
  if (item.Created == 0)
    item.Created = revision;
  Events.push_back({key, revision, false, item});
  if (Events.size() > HistoryEvents)
    Events.pop_front();
}

void Store::removeLocked(const std::string &key, int64_t revision) {
  if (Items.erase(key) > 0)
    Events.push_back({key, revision, true, {}});
}

void Store::removeLeaseLocked(int64_t id) {
  Leases.erase(id);
  std::vector<std::string> keys;
  for (const auto &[key, item] : Items)
    if (item.Lease == id)
      keys.push_back(key);
  if (keys.empty())
    return;
  ++Revision;
  for (const std::string &key : keys)
    removeLocked(key, Revision);
  Changed.notify_all();
}

void Store::expireLeases() {
  std::lock_guard<std::mutex> lock(Mu);
  std::vector<int64_t> ended;
  for (const auto &[id, lease] : Leases)
    if (lease.EndsAt <= nowMs())
      ended.push_back(id);
  for (const int64_t id : ended)
    removeLeaseLocked(id);
}

} // namespace sitekit
