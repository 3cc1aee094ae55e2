#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>

// Access to the fields of documents from other processes, in which a field may
// be missing or of another type.
namespace oriolebay::utils {

/// Returns the string that object has under key; empty when it is missing or
/// not a string.
inline std::string textIn(const nlohmann::json &object, const char *key) {
  auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

/// Returns the whole part of number; the nearest limit when it is out of range,
/// and zero when it is not a number.
inline int64_t toInt64(const nlohmann::json &number) {
  using Limits = std::numeric_limits<int64_t>;
  // The first double beyond the range.
  constexpr double Beyond = 9223372036854775808.0;
  if (number.is_number_unsigned()) {
    const auto n = number.get<uint64_t>();
    return n > static_cast<uint64_t>(Limits::max()) ? Limits::max()
                                                    : static_cast<int64_t>(n);
  }
  if (number.is_number_integer())
    return number.get<int64_t>();
  if (!number.is_number_float())
    return 0;
  const auto value = number.get<double>();
  if (value >= Beyond)
    return Limits::max();
  if (value < -Beyond)
    return Limits::min();
  // A value that is not a number compares as false.
  return value == value ? static_cast<int64_t>(value) : 0;
}

/// Returns the number that object has under key; zero when it is missing or not
/// a number.
inline int64_t numberIn(const nlohmann::json &object, const char *key) {
  auto it = object.find(key);
  return it != object.end() ? toInt64(*it) : 0;
}

/// Returns whether object has true under key.
inline bool flagIn(const nlohmann::json &object, const char *key) {
  auto it = object.find(key);
  return it != object.end() && it->is_boolean() && it->get<bool>();
}

/// Returns the array or object that parent has under key, without copying it;
/// an empty document when it is missing or neither.
inline const nlohmann::json &containerIn(const nlohmann::json &parent,
                                         const char *key) {
  static const nlohmann::json none = nlohmann::json::array();
  auto it = parent.find(key);
  return it != parent.end() && it->is_structured() ? *it : none;
}

/// Returns number as a T. For decoders: throws std::invalid_argument when it is
/// not a number, std::out_of_range when a T cannot hold it.
template <class T> T checkedNumber(const nlohmann::json &number) {
  if (!number.is_number())
    throw std::invalid_argument("a number was expected");
  const int64_t value = toInt64(number);
  if (value < std::numeric_limits<T>::min() ||
      value > std::numeric_limits<T>::max())
    throw std::out_of_range("a number is out of range");
  return static_cast<T>(value);
}

/// Returns the number that object has under key; fallback when it is missing.
/// Throws as checkedNumber() does.
template <class T>
T checkedNumberIn(const nlohmann::json &object, const char *key, T fallback) {
  auto it = object.find(key);
  return it == object.end() ? fallback : checkedNumber<T>(*it);
}

} // namespace oriolebay::utils
