#pragma once

#include "utils/error.h"
#include "utils/jsontext.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace oriolebay::settings::Internal {

/// Reads the keys of one JSON object and detects keys that were not requested.
class Reader {
public:
  Reader(const nlohmann::json &object, std::string keyPrefix)
      : Object(object), KeyPrefix(std::move(keyPrefix)) {}

  /// Reads the value of key into out. When an optional key is missing, out
  /// keeps its value.
  template <class T>
  utils::Result<void> get(const char *key, T &out, bool required) {
    RequestedKeys.insert(key);
    if (!Object.contains(key)) {
      if (required)
        return utils::fail(utils::ErrorKind::BadSettings,
                           "missing setting " + KeyPrefix + key,
                           "add \"" + std::string(key) + "\" to the file");
      return {};
    }
    try {
      Object.at(key).get_to(out);
    } catch (const nlohmann::json::exception &) {
      return utils::fail(utils::ErrorKind::BadSettings,
                         "setting " + KeyPrefix + key + " has the wrong type",
                         "see docs/OPERATIONS.md for its type");
    }
    return {};
  }

  /// Fails when the object has a key that was not requested with get().
  utils::Result<void> requireNoOtherKeys() const {
    for (const auto &[key, value] : Object.items())
      if (RequestedKeys.count(key) == 0)
        return utils::fail(utils::ErrorKind::BadSettings,
                           "unknown setting " + KeyPrefix + key,
                           "remove it or correct its spelling");
    return {};
  }

private:
  const nlohmann::json &Object;
  const std::string KeyPrefix;
  std::set<std::string> RequestedKeys;
};

inline utils::Result<nlohmann::json> parseObject(const std::string &text) {
  auto j = utils::parseJson(text);
  if (!j || !j->is_object())
    return utils::fail(utils::ErrorKind::BadSettings,
                       "settings are not a JSON object",
                       "write the settings as one JSON object");
  return j;
}

} // namespace oriolebay::settings::Internal
