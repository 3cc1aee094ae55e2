#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>

namespace oriolebay::utils {

/// Maximum size of a reservation that may use the part of a budget that is kept
/// for small ones.
inline constexpr size_t SmallReservationBytes = 1 << 16;

/// The number of bytes that all requests of a process may hold together, from
/// their first byte to their answer. A part of it is kept for small requests,
/// so that these find room while large ones fill the rest. Safe for use by
/// several threads.
class MemoryBudget {
public:
  /// A part of reservedForSmall of the bytes is kept for small requests.
  MemoryBudget(size_t bytes, size_t reservedForSmall);
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  /// Returns the size of the whole budget.
  size_t totalBytes() const { return Total; }
  /// Returns the number of bytes that are reserved now.
  size_t usedBytes() const;
  /// Returns the number of reservations that found no room so far.
  uint64_t refusals() const;

private:
  friend class MemoryReservation;

  /// Reserves more bytes for a reservation that holds heldBytes.
  bool tryTake(size_t bytes, size_t heldBytes);
  void giveBack(size_t bytes);

  const size_t Total;
  const size_t ReservedForSmall;
  mutable std::mutex Mu;
  size_t Used = 0;
  uint64_t Refusals = 0;
};

/// Bytes of a budget that are given back when the reservation is destroyed. It
/// begins empty. One thread at a time may use it. One that was moved from can
/// only be destroyed or assigned to.
class MemoryReservation {
public:
  explicit MemoryReservation(std::shared_ptr<MemoryBudget> budget);
  ~MemoryReservation();
  MemoryReservation(MemoryReservation &&other) noexcept;
  MemoryReservation &operator=(MemoryReservation &&other) noexcept;
  MemoryReservation(const MemoryReservation &) = delete;
  MemoryReservation &operator=(const MemoryReservation &) = delete;

  size_t bytes() const { return Held; }
  /// Reserves more bytes. Returns false and changes nothing when they find no
  /// room.
  [[nodiscard]] bool tryGrow(size_t bytes);
  /// Gives back everything beyond the given number of bytes.
  void shrinkTo(size_t bytes);
  /// Gives back all bytes.
  void release() { shrinkTo(0); }

private:
  std::shared_ptr<MemoryBudget> Budget;
  size_t Held = 0;
};

} // namespace oriolebay::utils
