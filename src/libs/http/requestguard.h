#pragma once

#include "refusedrequest.h"
#include "utils/memorybudget.h"

#include <functional>
#include <memory>

namespace oriolebay::http {

/// What bounds the requests of a server: the budget of bytes that all servers
/// of a process share, null for none, and the observer of refused requests. The
/// observer is called on any thread and must return quickly.
struct RequestGuard {
  std::shared_ptr<utils::MemoryBudget> Budget = {};
  std::function<void(const RefusedRequest &)> OnRefused = {};
};

} // namespace oriolebay::http
