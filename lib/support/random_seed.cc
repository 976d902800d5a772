// Randomness for identifiers.

#include "chervilwick/support/random_seed.h"

#include <limits>

#include "absl/random/random.h"

namespace chervilwick {

uint64_t DrawNonZero() {
  absl::BitGen generator;
  return absl::Uniform<uint64_t>(absl::IntervalClosed, generator, 1,
                                 std::numeric_limits<uint64_t>::max());
}

}  // namespace chervilwick
