// Brings a backend server's weights, adapters and role in line with the
// configuration version in force.

#ifndef CHERVILWICK_AGENT_ENGINE_RECONCILER_H_
#define CHERVILWICK_AGENT_ENGINE_RECONCILER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/config/config_replica.h"
#include "chervilwick/engine/engine_types.h"

namespace chervilwick {

// Compares the engine's state with the configuration version in force and
// decides when to send an order. Weight loads within a pool are staggered by
// rank to bound the number of concurrent reads from the weight store.
class EngineReconciler {
 public:
  explicit EngineReconciler(BackendName backend)
      : backend_(std::move(backend)) {}

  void OnStatus(EngineStatus status) { status_ = std::move(status); }
  // Marks the engine as down after a crash or a call that could not be sent.
  void OnUnreachable() { status_.up = false; }
  // Called when an order has succeeded or failed.
  void OnOrderDone() { order_in_flight_ = false; }

  // Whether the engine is in the state that the configuration requires.
  bool IsReconciled(const ConfigReplica& config) const;
  // Whether all work on the engine must end before the next order.
  bool NeedsEmptyEngine(const ConfigReplica& config) const;
  // Returns the order to send now, if any. `confirmed` is true if a peer has
  // recently reported the same version; an order from an old version could
  // revert a newer one.
  std::optional<EngineOrder> Next(const ConfigReplica& config, bool is_empty,
                                  bool confirmed, absl::Time now);

  const EngineStatus& status() const { return status_; }

 private:
  absl::Duration LoadDelay(const ConfigReplica& config) const;

  const BackendName backend_;
  EngineStatus status_;
  bool order_in_flight_ = false;
  absl::Time next_order_ = absl::InfinitePast();
};

}  // namespace chervilwick

#endif  // CHERVILWICK_AGENT_ENGINE_RECONCILER_H_
