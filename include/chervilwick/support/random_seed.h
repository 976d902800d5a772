// Randomness that differs in each process.

#ifndef CHERVILWICK_SUPPORT_RANDOM_SEED_H_
#define CHERVILWICK_SUPPORT_RANDOM_SEED_H_

#include <cstdint>

namespace chervilwick {

// A number that is not zero and is drawn anew at each call.
uint64_t DrawNonZero();

}  // namespace chervilwick

#endif  // CHERVILWICK_SUPPORT_RANDOM_SEED_H_
