// Position in the history of the store.

#ifndef CHERVILWICK_FRONT_STORE_REVISION_H_
#define CHERVILWICK_FRONT_STORE_REVISION_H_

#include <cstdint>
#include <ostream>
#include <tuple>

#include "chervilwick/support/strong_type.h"

namespace chervilwick {

// Number of times that the store returned from an older copy. Zero if the store
// states none.
using StoreEra = StrongType<struct StoreEraTag, uint64_t>;

// Revision of the store. The store gives out numbers again after its return
// from a copy, so that only revisions of one era can be compared by number.
struct StoreRevision {
  // Enough for 400 changes a second over 80 years.
  static constexpr int kNumberBits = 40;

  StoreEra era;
  uint64_t number = 0;

  // One number in the same order. It equals `number` in the first era, as older
  // versions of the front send it.
  uint64_t Packed() const { return era.value() << kNumberBits | number; }
  static StoreRevision FromPacked(uint64_t packed) {
    return {StoreEra(packed >> kNumberBits),
            packed & ((uint64_t{1} << kNumberBits) - 1)};
  }

  friend bool operator==(const StoreRevision& a, const StoreRevision& b) {
    return a.era == b.era && a.number == b.number;
  }
  friend bool operator<(const StoreRevision& a, const StoreRevision& b) {
    return std::tie(a.era, a.number) < std::tie(b.era, b.number);
  }
  friend bool operator<=(const StoreRevision& a, const StoreRevision& b) {
    return !(b < a);
  }
  friend std::ostream& operator<<(std::ostream& out, const StoreRevision& it) {
    return out << it.era << ":" << it.number;
  }
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STORE_REVISION_H_
