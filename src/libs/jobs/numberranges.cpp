#include "numberranges.h"

#include <algorithm>

namespace oriolebay::jobs {

std::map<int, int>::const_iterator NumberRanges::find(int number) const {
  auto next = LastByFirst.upper_bound(number);
  if (next == LastByFirst.begin())
    return LastByFirst.end();
  auto it = std::prev(next);
  return number <= it->second ? it : LastByFirst.end();
}

bool NumberRanges::contains(int number) const {
  return find(number) != LastByFirst.end();
}

// Joins all ranges that overlap or touch the new one.
void NumberRanges::insert(int first, int last) {
  if (last < first)
    return;
  auto it = LastByFirst.upper_bound(first);
  if (it != LastByFirst.begin() && std::prev(it)->second >= first - 1)
    --it;
  while (it != LastByFirst.end() && it->first <= last + 1) {
    first = std::min(first, it->first);
    last = std::max(last, it->second);
    Count -= it->second - it->first + 1;
    it = LastByFirst.erase(it);
  }
  LastByFirst.emplace(first, last);
  Count += last - first + 1;
}

void NumberRanges::erase(int number) {
  auto it = find(number);
  if (it == LastByFirst.end())
    return;
  const auto [first, last] = *it;
  LastByFirst.erase(it);
  if (first < number)
    LastByFirst.emplace(first, number - 1);
  if (number < last)
    LastByFirst.emplace(number + 1, last);
  --Count;
}

} // namespace oriolebay::jobs
