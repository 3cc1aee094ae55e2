#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace oriolebay::utils {

/// Returns the string that object has under key; empty when it is missing or
/// not a string.
inline std::string textIn(const nlohmann::json &object, const char *key) {
  auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

/// Returns the number that object has under key; zero when it is missing or not
/// a number.
inline int64_t numberIn(const nlohmann::json &object, const char *key) {
  auto it = object.find(key);
  return it != object.end() && it->is_number() ? it->get<int64_t>() : 0;
}

} // namespace oriolebay::utils
