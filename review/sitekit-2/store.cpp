#include "store.h"

#include <algorithm>

namespace sitekit {

namespace {

constexpr int64_t AnswerDelayMs = 4;
constexpr int64_t TickMs = 20;
constexpr int64_t MinTtlMs = 1000;
constexpr int64_t MaxTtlMs = 600000;
constexpr int64_t MaxWatchMs = 30000;
constexpr size_t PageItems = 500;
constexpr size_t PageBytes = 1000000;
constexpr size_t MaxTxnEntries = 32;
constexpr size_t MaxKeyBytes = 200;
constexpr size_t MaxValueBytes = 1048576;

const std::string Base64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &bytes) {
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t n = std::min<size_t>(3, bytes.size() - i);
    for (size_t k = 0; k < 3; ++k)
      group =
          group << 8 | (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    for (size_t k = 0; k < 4; ++k)
      out += k <= n ? Base64Digits[group >> (18 - 6 * k) & 63U] : '=';
  }
  return out;
}

std::string fromBase64(const std::string &text) {
  std::string out;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const size_t digit = Base64Digits.find(c);
    if (digit == std::string::npos)
      break;
    bits = bits << 6 | static_cast<uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255U);
    }
  }
  return out;
}

bool startsWith(const std::string &text, const std::string &prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

int64_t numberOf(const std::string &text) {
  return text.empty() ? 0 : std::stoll(text);
}

} // namespace

Store::Store(Loop &loop)
    : EventLoop(loop),
      Http(loop, [this](const Request &request, const Respond &respond) {
        serve(request, respond);
      }) {
  tick();
}

void Store::tick() {
  if (CurrentMode == Mode::Serving)
    expireLeases();
  answerWatches();
  EventLoop.runAfter(TickMs, [this] { tick(); });
}

void Store::expireLeases() {
  std::vector<int64_t> ended;
  for (const auto &[id, lease] : Leases)
    if (lease.EndsAt <= nowMs())
      ended.push_back(id);
  for (const int64_t id : ended)
    endLease(id);
}

void Store::endLease(int64_t id) {
  Leases.erase(id);
  std::vector<std::string> keys;
  for (const auto &[key, item] : Items)
    if (item.Lease == id)
      keys.push_back(key);
  for (const std::string &key : keys)
    removeItem(key, ++Revision);
}

void Store::setMode(Mode mode) {
  if (mode != Mode::Serving && CurrentMode == Mode::Serving)
    PausedSince = nowMs();
  if (mode == Mode::Serving && CurrentMode != Mode::Serving)
    for (auto &[id, lease] : Leases)
      lease.EndsAt += nowMs() - PausedSince;
  CurrentMode = mode;
}

int64_t Store::put(const std::string &key, const std::string &value) {
  putItem(key, value, 0, ++Revision);
  return Revision;
}

void Store::remove(const std::string &key) { removeItem(key, ++Revision); }

std::string Store::value(const std::string &key) const {
  auto it = Items.find(key);
  return it == Items.end() ? "" : it->second.Value;
}

void Store::putItem(const std::string &key, const std::string &value,
                    int64_t lease, int64_t revision) {
  Item &item = Items[key];
  item = {value, revision, item.Created == 0 ? revision : item.Created, lease};
  History.push_back({revision, key, false, item});
}

void Store::removeItem(const std::string &key, int64_t revision) {
  if (Items.erase(key) > 0)
    History.push_back({revision, key, true, {}});
}

json Store::itemBody(const std::string &key, const Item &item) {
  return {{"key", key},
          {"value", toBase64(item.Value)},
          {"revision", item.Revision},
          {"created", item.Created},
          {"lease", item.Lease}};
}

void Store::serve(const Request &request, const Respond &respond) {
  if (CurrentMode == Mode::Silent)
    return;
  if (CurrentMode == Mode::Busy) {
    EventLoop.runAfter(AnswerDelayMs,
                       [respond] { respond(503, json::object()); });
    return;
  }
  carryOut(request, [this, respond](int status, const json &body) {
    EventLoop.runAfter(AnswerDelayMs, [this, respond, status, body] {
      if (CurrentMode == Mode::Serving)
        respond(status, body);
    });
  });
}

void Store::carryOut(const Request &request, const Respond &respond) {
  const std::string &path = request.Path;
  if (path == "/-/kv-key") {
    auto it = Items.find(request.argument("key"));
    if (it == Items.end())
      respond(404, json::object());
    else
      respond(200, itemBody(it->first, it->second));
  } else if (path == "/-/kv-range") {
    range(request, respond);
  } else if (path == "/-/kv-watch") {
    watch(request, respond);
  } else if (path == "/-/kv-txn") {
    const json txn = json::parse(request.Body);
    const int64_t lateBy = LateBy ? LateBy(txn) : -1;
    if (lateBy < 0)
      transact(txn, respond);
    else
      EventLoop.runAfter(
          lateBy, [this, txn] { transact(txn, [](int, const json &) {}); });
  } else if (path == "/-/kv-lease") {
    grantLease(json::parse(request.Body), respond);
  } else if (startsWith(path, "/-/kv-keep/")) {
    keepLease(numberOf(path.substr(11)), respond);
  } else if (startsWith(path, "/-/kv-lease-end/")) {
    endLease(numberOf(path.substr(16)));
    respond(200, json::object());
  } else {
    respond(404, json::object());
  }
}

void Store::range(const Request &request, const Respond &respond) {
  const std::string prefix = request.argument("prefix");
  const std::string after = request.argument("after");
  json items = json::array();
  size_t bytes = 0;
  bool more = false;
  for (const auto &[key, item] : Items) {
    if (!startsWith(key, prefix) || key <= after)
      continue;
    if (items.size() >= PageItems || bytes > PageBytes) {
      more = true;
      break;
    }
    bytes += item.Value.size();
    items.push_back(itemBody(key, item));
  }
  respond(200,
          {{"items", items}, {"morePages", more}, {"storeRevision", Revision}});
}

json Store::eventsAfter(const std::string &prefix, int64_t after) const {
  json events = json::array();
  for (const Change &change : History) {
    if (change.Revision <= after || !startsWith(change.Key, prefix))
      continue;
    if (change.Removed)
      events.push_back({{"key", change.Key},
                        {"revision", change.Revision},
                        {"tombstone", true}});
    else
      events.push_back(itemBody(change.Key, change.Now));
  }
  return events;
}

void Store::watch(const Request &request, const Respond &respond) {
  const int64_t waitMs =
      std::min(numberOf(request.argument("waitMs")), MaxWatchMs);
  Watches.push_back({request.argument("prefix"),
                     numberOf(request.argument("after")), nowMs() + waitMs,
                     respond});
}

void Store::answerWatches() {
  if (CurrentMode != Mode::Serving)
    return;
  std::vector<Watch> waiting;
  std::vector<Watch> all;
  all.swap(Watches);
  for (Watch &watch : all) {
    const json events = eventsAfter(watch.Prefix, watch.After);
    if (events.empty() && nowMs() < watch.EndsAt)
      waiting.push_back(std::move(watch));
    else
      watch.Answer(200, {{"events", events}, {"storeRevision", Revision}});
  }
  Watches.insert(Watches.end(), waiting.begin(), waiting.end());
}

void Store::transact(const json &txn, const Respond &respond) {
  const json expected = txn.value("expected", json::array());
  const json puts = txn.value("puts", json::array());
  const json removes = txn.value("remove", json::array());
  if (expected.size() + puts.size() + removes.size() > MaxTxnEntries)
    return respond(400, json::object());
  bool holds = true;
  json current = json::array();
  for (const json &condition : expected) {
    auto it = Items.find(condition.at("key").get<std::string>());
    const int64_t revision = it == Items.end() ? 0 : it->second.Revision;
    holds &= revision == condition.at("revision").get<int64_t>();
    if (it != Items.end())
      current.push_back(itemBody(it->first, it->second));
  }
  if (!holds)
    return respond(412, {{"items", current}});
  for (const json &put : puts) {
    const auto key = put.at("key").get<std::string>();
    const int64_t lease = put.value("lease", int64_t{0});
    if (startsWith(key, "op/") || startsWith(key, "servers/"))
      return respond(403, json::object());
    if (key.size() > MaxKeyBytes ||
        fromBase64(put.at("value").get<std::string>()).size() > MaxValueBytes)
      return respond(400, json::object());
    if (lease != 0 && Leases.count(lease) == 0)
      return respond(404, json::object());
  }
  if (!puts.empty() || !removes.empty())
    ++Revision;
  for (const json &put : puts)
    putItem(put.at("key"), fromBase64(put.at("value")),
            put.value("lease", int64_t{0}), Revision);
  for (const json &key : removes)
    removeItem(key, Revision);
  respond(200, {{"revision", Revision}});
}

void Store::grantLease(const json &body, const Respond &respond) {
  const int64_t ttlMs =
      std::clamp(body.at("ttlMs").get<int64_t>(), MinTtlMs, MaxTtlMs);
  const int64_t id = NextLease++;
  Leases[id] = {ttlMs, nowMs() + ttlMs};
  respond(200, {{"lease", id}, {"ttlMs", ttlMs}});
}

void Store::keepLease(int64_t id, const Respond &respond) {
  auto it = Leases.find(id);
  if (it == Leases.end())
    return respond(404, json::object());
  it->second.EndsAt = nowMs() + it->second.TtlMs;
  respond(200, {{"lease", id}, {"ttlMs", it->second.TtlMs}});
}

} // namespace sitekit
