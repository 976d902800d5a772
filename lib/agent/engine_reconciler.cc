// Decides when an agent sends its engine an order.

#include "chervilwick/agent/engine_reconciler.h"

#include <algorithm>

#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kOrderInterval = absl::Seconds(1);

bool HasAdapters(const EngineStatus& status, const Pool& pool) {
  return std::all_of(
      pool.adapters.begin(), pool.adapters.end(), [&](const std::string& it) {
        return std::find(status.adapters.begin(), status.adapters.end(), it) !=
               status.adapters.end();
      });
}

}  // namespace

bool EngineReconciler::IsReconciled(const ConfigReplica& config) const {
  const Pool* pool = config.setup().FindPoolOf(backend_);
  if (pool == nullptr || !status_.up) return false;
  if (pool->role == PoolRole::kPlain) return true;
  return !NeedsEmptyEngine(config) && HasAdapters(status_, *pool);
}

bool EngineReconciler::NeedsEmptyEngine(const ConfigReplica& config) const {
  const Pool* pool = config.setup().FindPoolOf(backend_);
  if (pool == nullptr || !status_.up || pool->role == PoolRole::kPlain) {
    return false;
  }
  return status_.weights != pool->weights || status_.role != pool->role;
}

absl::Duration EngineReconciler::LoadDelay(const ConfigReplica& config) const {
  PoolName name;
  const Pool* pool = config.setup().FindPoolOf(backend_, &name);
  // All agents compute the same order of the pool's servers without a leader.
  uint64_t own = StableHash(backend_.value());
  uint64_t rank = 0;
  for (const auto& [server, setup] : pool->servers) {
    if (StableHash(server.value()) < own) ++rank;
  }
  const Limits& limits = config.setup().limits;
  return static_cast<int64_t>(rank / limits.concurrent_weight_loads) *
         limits.weight_load_time;
}

std::optional<EngineOrder> EngineReconciler::Next(const ConfigReplica& config,
                                                  bool is_empty, bool confirmed,
                                                  absl::Time now) {
  const Pool* pool = config.setup().FindPoolOf(backend_);
  if (pool == nullptr || !status_.up || order_in_flight_ || !confirmed ||
      now < next_order_ || IsReconciled(config)) {
    return std::nullopt;
  }
  bool loads_weights = status_.weights != pool->weights;
  if (NeedsEmptyEngine(config) && !is_empty) return std::nullopt;
  if (loads_weights && now < config.in_force_since() + LoadDelay(config)) {
    return std::nullopt;
  }
  order_in_flight_ = true;
  next_order_ = now + kOrderInterval;
  EngineOrder order;
  order.model = pool->model.value();
  order.weights = pool->weights;
  order.adapters = pool->adapters;
  order.role = pool->role;
  order.fence = config.number().value();
  return order;
}

}  // namespace chervilwick
