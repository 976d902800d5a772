// Prediction of the free places and memory of a decode engine.

#include "chervilwick/agent/place_calendar.h"

#include <algorithm>

namespace chervilwick {

PlaceAvailability CheckAvailability(const PlaceCapacity& capacity,
                                    const std::vector<PlaceUse>& uses,
                                    absl::Time from, uint32_t pieces) {
  uint32_t places_used = 0;
  uint32_t pieces_used = 0;
  for (const PlaceUse& it : uses) {
    if (it.until <= from) continue;
    ++places_used;
    pieces_used += it.pieces;
  }
  if (places_used >= capacity.places) return PlaceAvailability::kNoPlace;
  if (pieces_used + pieces > capacity.pieces) {
    return PlaceAvailability::kNoMemory;
  }
  return PlaceAvailability::kAvailable;
}

std::optional<absl::Time> EarliestPlace(const PlaceCapacity& capacity,
                                        const std::vector<PlaceUse>& uses,
                                        absl::Time from, absl::Time latest,
                                        uint32_t pieces) {
  // A place only becomes free when a use ends.
  std::vector<absl::Time> times = {from};
  for (const PlaceUse& it : uses) {
    if (it.until > from && it.until <= latest) times.push_back(it.until);
  }
  std::sort(times.begin(), times.end());
  for (absl::Time time : times) {
    if (CheckAvailability(capacity, uses, time, pieces) ==
        PlaceAvailability::kAvailable) {
      return time;
    }
  }
  return std::nullopt;
}

}  // namespace chervilwick
