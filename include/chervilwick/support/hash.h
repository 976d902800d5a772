// Stable hashing, equal in all processes, for placement and fingerprints.

#ifndef CHERVILWICK_SUPPORT_HASH_H_
#define CHERVILWICK_SUPPORT_HASH_H_

#include <cstdint>
#include <string_view>

namespace chervilwick {

// 64-bit hash of `text`; the same in every process and on every host.
uint64_t StableHash(std::string_view text, uint64_t seed = 0);

// Hash of the words of `text` (split at spaces) continued from `state`, so that
// hashing a text in pieces that end between words gives the hash of the whole.
uint64_t HashWords(std::string_view text, uint64_t state = 0);

}  // namespace chervilwick

#endif  // CHERVILWICK_SUPPORT_HASH_H_
