#include "profilestore.h"

#include "core/codec.h"
#include "utils/jsontext.h"

#include <absl/time/clock.h>

#include <algorithm>

namespace oriolebay::operators {

using utils::ErrorKind;

namespace {

constexpr long MaxBackoffMs = 2000;

/// Returns the profile stored in kv, with Version set to the key's revision.
utils::Result<core::Profile> parseProfile(const platform::KeyValue &kv) {
  const auto j = utils::parseJson(kv.Value);
  try {
    if (j) {
      auto profile = j->get<core::Profile>();
      profile.Version = kv.ModRevision;
      return profile;
    }
  } catch (const nlohmann::json::exception &) {
  }
  return utils::fail(ErrorKind::BadMessage,
                     "profile under " + kv.Key + " is not a valid profile",
                     "write it again with `oriolebay-entry profile put`");
}

} // namespace

std::string checkProfile(const core::Profile &profile) {
  if (profile.Name.empty() || profile.Name.find('/') != std::string::npos)
    return "name must be non-empty and hold no '/'";
  if (profile.PowerCapWatts <= 0)
    return "power_cap_watts must be above zero";
  for (const core::Guarantee &g : profile.Guarantees)
    if (g.Organisation.empty() || g.Accelerators < 0)
      return "each guarantee needs an organisation and accelerators >= 0";
  return {};
}

utils::Result<int64_t> writeProfile(platform::KvClient &kv,
                                    const core::Profile &profile,
                                    int64_t expectedVersion) {
  std::string problem = checkProfile(profile);
  if (!problem.empty())
    return utils::fail(ErrorKind::BadSettings, "profile rejected: " + problem,
                       "correct the profile file");
  nlohmann::json body = profile;
  body.erase("version");
  BOOST_LEAF_AUTO(res,
                  kv.compareAndSwap(ProfilePrefix + profile.Name,
                                    utils::toJsonText(body), expectedVersion));
  if (!res.Succeeded) {
    int64_t current = res.Current ? res.Current->ModRevision : 0;
    return utils::fail(ErrorKind::StoreConflict,
                       "profile " + profile.Name + " is at version " +
                           std::to_string(current) + ", not " +
                           std::to_string(expectedVersion),
                       "read it again (`profile get`), merge your change "
                       "and write with --expect-version " +
                           std::to_string(current));
  }
  return res.Revision;
}

utils::Result<std::vector<core::Profile>> readProfiles(platform::KvClient &kv) {
  BOOST_LEAF_AUTO(kvs, kv.list(ProfilePrefix));
  std::vector<core::Profile> out;
  for (const platform::KeyValue &k : kvs) {
    auto profile = utils::handle<std::optional<core::Profile>>(
        [&]() -> utils::Result<std::optional<core::Profile>> {
          BOOST_LEAF_AUTO(p, parseProfile(k));
          return std::optional<core::Profile>(p);
        },
        [](const utils::Error &) { return std::optional<core::Profile>(); });
    if (profile)
      out.push_back(*profile);
  }
  return out;
}

ProfileWatcher::ProfileWatcher(platform::KvClient &kv, OnProfile onProfile,
                               OnStoreError onError, long pollMs)
    : Kv(kv), NotifyProfile(std::move(onProfile)),
      NotifyStoreError(std::move(onError)), PollMs(pollMs),
      Thread([this] { follow(); }) {}

ProfileWatcher::~ProfileWatcher() { stop(); }

void ProfileWatcher::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

void ProfileWatcher::follow() {
  int64_t next = 0;
  long backoffMs = 100;
  while (!Stopping) {
    bool ok = utils::handle<bool>(
        [&]() -> utils::Result<bool> {
          if (next == 0) {
            int64_t revision = 0;
            BOOST_LEAF_AUTO(kvs, Kv.list(ProfilePrefix, &revision));
            for (const platform::KeyValue &k : kvs)
              if (auto p = parseProfile(k))
                NotifyProfile(p.value());
            next = revision + 1;
            return true;
          }
          BOOST_LEAF_AUTO(batch, Kv.watch(ProfilePrefix, next, PollMs));
          for (const platform::KeyValue &k : batch.Changes) {
            next = std::max(next, k.ModRevision + 1);
            if (auto p = parseProfile(k))
              NotifyProfile(p.value());
          }
          return true;
        },
        [&](const utils::Error &e) {
          NotifyStoreError(e);
          return false;
        });
    if (ok) {
      backoffMs = 100;
      continue;
    }
    // Waits before the next call, because otherwise each entry would retry in a
    // tight loop while the store is down or slow.
    absl::SleepFor(absl::Milliseconds(backoffMs));
    backoffMs = std::min(MaxBackoffMs, backoffMs * 2);
  }
}

} // namespace oriolebay::operators
