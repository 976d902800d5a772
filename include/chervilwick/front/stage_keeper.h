// Orders that change what engines do, given by one front at a time.

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

// Holds a key of the store under a lease while there is something to change.
// The key's revision is the fencing token of the orders. The lease is given up
// by the clock that counts suspensions, before it can lapse; a new holder waits
// longer than the last one's orders may take.
class StageKeeper {
 public:
  // `services`: those whose engines may be changed.
  StageKeeper(FrontContext& context,
              std::function<std::set<ServiceName>()> services);

  // The store's word on who holds the key; none if nobody does.
  void OnHolder(const std::optional<std::string>& holder);
  // Called from a timer while the store answers.
  void Tick();

 private:
  enum class State { kIdle, kLeasing, kClaiming, kHolding };

  void Lease();
  void Claim(const std::string& lease);
  void Renew();
  void OrderNext();
  void GiveUp(const char* why);
  std::optional<StageChange> NextChange() const;

  FrontContext& context_;
  std::function<std::set<ServiceName>()> services_;
  Timer timeout_;
  absl::BitGen random_;
  State state_ = State::kIdle;
  std::optional<std::string> holder_;
  std::string lease_;
  uint64_t fence_ = 0;
  bool renewing_ = false;
  // By the clock that counts suspensions.
  absl::Time lease_sent_;
  absl::Time lease_ends_;
  absl::Time may_order_at_;
  absl::Time next_try_ = absl::InfinitePast();
  std::map<BackendName, absl::Time> ordered_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STAGE_KEEPER_H_
