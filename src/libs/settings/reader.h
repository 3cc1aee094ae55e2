#pragma once

#include "utils/error.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace oriolebay::settings::Internal {

/// Reads one object's keys strictly: every key it holds must be asked for.
class Reader {
public:
  Reader(const nlohmann::json &object, std::string where)
      : Object(object), Where(std::move(where)) {}

  template <class T>
  utils::Result<void> get(const char *key, T &out, bool required) {
    Seen.insert(key);
    if (!Object.contains(key)) {
      if (required)
        return utils::fail(utils::ErrorKind::BadSettings,
                           "missing setting " + Where + key,
                           "add \"" + std::string(key) + "\" to the file");
      return {};
    }
    try {
      Object.at(key).get_to(out);
    } catch (const nlohmann::json::exception &) {
      return utils::fail(utils::ErrorKind::BadSettings,
                         "setting " + Where + key + " has the wrong type",
                         "see docs/OPERATIONS.md for its type");
    }
    return {};
  }

  utils::Result<void> noOthers() const {
    for (const auto &[key, value] : Object.items())
      if (Seen.count(key) == 0)
        return utils::fail(utils::ErrorKind::BadSettings,
                           "unknown setting " + Where + key,
                           "remove it or correct its spelling");
    return {};
  }

private:
  const nlohmann::json &Object;
  const std::string Where;
  std::set<std::string> Seen;
};

inline utils::Result<nlohmann::json> parseObject(const std::string &text) {
  nlohmann::json j = nlohmann::json::parse(text, nullptr, false);
  if (j.is_discarded() || !j.is_object())
    return utils::fail(utils::ErrorKind::BadSettings,
                       "settings are not a JSON object",
                       "write the settings as one JSON object");
  return j;
}

} // namespace oriolebay::settings::Internal
