// Changes the stages of engines from one front at a time.

#ifndef CHERVILWICK_FRONT_STAGE_KEEPER_H_
#define CHERVILWICK_FRONT_STAGE_KEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/random/random.h"
#include "chervilwick/dispatch/stage_plan.h"
#include "chervilwick/front/front_context.h"

namespace chervilwick {

// Orders engines to change between prefill and decode. Only the front that
// holds a key in the store may send orders. The front takes the key under a
// lease while there are stages to change, and the key's revision, with the era
// of the store, is the fencing token of its orders. The lease is measured by a
// clock that includes time during which the host is suspended, and the front
// stops sending orders before the lease can expire. A new holder waits longer
// than orders of the previous one can take.
class StageController {
 public:
  // `services` returns the services whose engines may change stage.
  StageController(FrontContext& context,
                  std::function<std::set<ServiceName>()> services);

  // Called with the holder of the key according to the store; none if the key
  // is absent.
  void OnHolder(const std::optional<std::string>& holder);
  // The store has returned from an older copy: leases and the key may be gone.
  void OnStoreReturned();
  // Called from a timer while the store is reachable.
  void Tick();

 private:
  enum class State { kIdle, kLeasing, kClaiming, kHolding };

  void RequestLease();
  void ClaimKey(const std::string& lease);
  void RenewLease();
  void SendNextOrder();
  // Stops sending orders or trying to get the key.
  void StepDown(const char* reason);
  std::optional<StageChange> NextChange() const;

  FrontContext& context_;
  std::function<std::set<ServiceName>()> services_;
  Timer timeout_;
  absl::BitGen random_;
  State state_ = State::kIdle;
  std::optional<std::string> holder_;
  std::string lease_;
  StoreEra lease_era_;
  uint64_t fencing_token_ = 0;
  bool is_renewing_ = false;
  // These times are of the clock that includes suspended time.
  absl::Time lease_sent_;
  absl::Time lease_ends_;
  absl::Time orders_allowed_at_;
  // A holder that missed the store's return sends no orders after this time.
  absl::Time lost_lease_ends_ = absl::InfinitePast();
  absl::Time next_attempt_ = absl::InfinitePast();
  std::map<BackendName, absl::Time> orders_sent_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STAGE_KEEPER_H_
