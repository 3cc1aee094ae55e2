#pragma once

#include <compare>
#include <iterator>
#include <map>

namespace oriolebay::jobs {

/// A set of numbers, which takes memory for each range of neighbours only.
class NumberRanges {
public:
  /// Adds the numbers from first to last.
  void insert(int first, int last);
  void insert(int number) { insert(number, number); }
  void erase(int number);
  bool contains(int number) const;
  /// How many numbers there are.
  int count() const { return Count; }
  bool empty() const { return Count == 0; }
  /// The last number of each range, by its first.
  const std::map<int, int> &ranges() const { return LastByFirst; }

  auto operator<=>(const NumberRanges &) const = default;

private:
  /// The range that contains number, or the end.
  std::map<int, int>::const_iterator find(int number) const;

  int Count = 0;
  std::map<int, int> LastByFirst;
};

} // namespace oriolebay::jobs
