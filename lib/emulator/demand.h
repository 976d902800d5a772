// What clients ask for in a day.

#ifndef CHERVILWICK_LIB_EMULATOR_DEMAND_H_
#define CHERVILWICK_LIB_EMULATOR_DEMAND_H_

#include <cstdint>
#include <functional>
#include <random>

#include "absl/time/time.h"
#include "chervilwick/emulator/day.h"
#include "chervilwick/emulator/front_model.h"
#include "chervilwick/kernel/event_queue.h"

namespace chervilwick {

// Draws requests along the day's demand. Its draws are its own, so that every
// policy is asked for the same.
class Demand {
 public:
  using Handler = std::function<void(const EmulatedRequest&)>;

  Demand(const DayOptions& options, EventQueue& queue, Handler on_request);

  // Requests come from now on, for the length of the day.
  void Start();

 private:
  // Multiple of the mean demand at a time of the day.
  double FactorAt(absl::Duration at) const;
  absl::Duration ToNextBatch(absl::Duration at) const;
  void NextArrival();
  void Arrive();
  double Draw();
  int64_t DrawSize(int64_t mean);

  const DayOptions& options_;
  EventQueue& queue_;
  Handler on_request_;
  std::mt19937_64 random_;
  absl::Time start_;
  uint64_t requests_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LIB_EMULATOR_DEMAND_H_
