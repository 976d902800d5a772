// Stable hashing with xxhash.

#include "chervilwick/support/hash.h"

#include <xxhash.h>

#include "absl/strings/str_split.h"

namespace chervilwick {

uint64_t StableHash(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

uint64_t HashWords(std::string_view text, uint64_t state) {
  for (absl::string_view word :
       absl::StrSplit(absl::string_view(text.data(), text.size()), ' ',
                      absl::SkipEmpty())) {
    state = XXH64(word.data(), word.size(), state);
  }
  return state;
}

}  // namespace chervilwick
