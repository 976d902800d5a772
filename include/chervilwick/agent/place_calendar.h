// Prediction of the free places and memory of a decode engine.

#ifndef CHERVILWICK_AGENT_PLACE_CALENDAR_H_
#define CHERVILWICK_AGENT_PLACE_CALENDAR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"

namespace chervilwick {

// One running request or reservation.
struct PlaceUse {
  absl::Time until;     // predicted end, an upper bound
  uint32_t pieces = 0;  // units of engine memory
};

// Total capacity of the engine.
struct PlaceCapacity {
  uint32_t places = 0;
  uint32_t pieces = 0;
};

enum class PlaceAvailability { kAvailable, kNoPlace, kNoMemory };

// Returns whether a place and `pieces` units of memory are predicted to be free
// from `from` on, given the current uses.
PlaceAvailability CheckAvailability(const PlaceCapacity& capacity,
                                    const std::vector<PlaceUse>& uses,
                                    absl::Time from, uint32_t pieces);

// Returns the earliest time in [`from`, `latest`] at which CheckAvailability
// returns kAvailable.
std::optional<absl::Time> EarliestPlace(const PlaceCapacity& capacity,
                                        const std::vector<PlaceUse>& uses,
                                        absl::Time from, absl::Time latest,
                                        uint32_t pieces);

}  // namespace chervilwick

#endif  // CHERVILWICK_AGENT_PLACE_CALENDAR_H_
