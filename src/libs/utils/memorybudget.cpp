#include "memorybudget.h"

#include <algorithm>
#include <utility>

namespace oriolebay::utils {

MemoryBudget::MemoryBudget(size_t bytes, size_t reservedForSmall)
    : Total(bytes), ReservedForSmall(std::min(reservedForSmall, bytes)) {}

size_t MemoryBudget::usedBytes() const {
  std::lock_guard<std::mutex> lock(Mu);
  return Used;
}

uint64_t MemoryBudget::refusals() const {
  std::lock_guard<std::mutex> lock(Mu);
  return Refusals;
}

bool MemoryBudget::tryTake(size_t bytes, size_t heldBytes) {
  std::lock_guard<std::mutex> lock(Mu);
  const bool isSmall = heldBytes <= SmallReservationBytes &&
                       bytes <= SmallReservationBytes - heldBytes;
  const size_t limit = isSmall ? Total : Total - ReservedForSmall;
  if (Used > limit || bytes > limit - Used) {
    ++Refusals;
    return false;
  }
  Used += bytes;
  return true;
}

void MemoryBudget::giveBack(size_t bytes) {
  std::lock_guard<std::mutex> lock(Mu);
  Used -= bytes;
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> budget)
    : Budget(std::move(budget)) {}

MemoryReservation::~MemoryReservation() { release(); }

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : Budget(std::move(other.Budget)), Held(std::exchange(other.Held, 0)) {}

MemoryReservation &
MemoryReservation::operator=(MemoryReservation &&other) noexcept {
  if (this != &other) {
    release();
    Budget = std::move(other.Budget);
    Held = std::exchange(other.Held, 0);
  }
  return *this;
}

bool MemoryReservation::tryGrow(size_t bytes) {
  if (!Budget->tryTake(bytes, Held))
    return false;
  Held += bytes;
  return true;
}

void MemoryReservation::shrinkTo(size_t bytes) {
  if (bytes >= Held)
    return;
  Budget->giveBack(Held - bytes);
  Held = bytes;
}

} // namespace oriolebay::utils
