// Index of the prefill backend servers that probably have a prompt's prefix in
// their KV cache.

#ifndef CHERVILWICK_ROUTING_PREFIX_INDEX_H_
#define CHERVILWICK_ROUTING_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// Chained hashes of a prompt's leading blocks: each covers all text up to the
// end of its block.
using PrefixHashes = std::vector<uint64_t>;
PrefixHashes HashPrefixes(std::string_view prompt);

// Maps each prefix to the backend server that computed it last. Entries expire
// by age and are evicted above a maximum number; an entry is removed when the
// engine reports that it has no such prefix.
class PrefixIndex {
 public:
  // Records that `server` computed the prompt.
  void Insert(const PrefixHashes& prefixes, const BackendName& server,
              absl::Time now);
  // Fraction of the prompt's blocks, from 0 to 1, that `server` probably has
  // cached.
  double Match(const PrefixHashes& prefixes, const BackendName& server,
               absl::Time now) const;
  // Removes the entries of `server` after its engine reported a cache miss.
  void OnMiss(const PrefixHashes& prefixes, const BackendName& server);
  size_t size() const { return holders_.size(); }

 private:
  struct Holder {
    BackendName server;
    absl::Time at;
  };

  absl::flat_hash_map<uint64_t, Holder> holders_;
  std::deque<uint64_t> insertion_order_;  // in insertion order
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ROUTING_PREFIX_INDEX_H_
