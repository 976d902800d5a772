// Index of cached prompt prefixes.

#include "chervilwick/routing/prefix_index.h"

#include <algorithm>

#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

constexpr size_t kBlockBytes = 1024;
constexpr size_t kMaxBlocks = 64;
constexpr size_t kMaxEntries = 16384;
constexpr absl::Duration kMaxAge = absl::Minutes(2);

}  // namespace

PrefixHashes HashPrefixes(std::string_view prompt) {
  PrefixHashes hashes;
  uint64_t state = 0;
  size_t n = std::min(prompt.size() / kBlockBytes, kMaxBlocks);
  for (size_t it = 0; it < n; ++it) {
    state = StableHash(prompt.substr(it * kBlockBytes, kBlockBytes), state);
    hashes.push_back(state);
  }
  return hashes;
}

void PrefixIndex::Insert(const PrefixHashes& prefixes,
                         const BackendName& server, absl::Time now) {
  for (uint64_t it : prefixes) {
    auto [holder, added] = holders_.insert_or_assign(it, Holder{server, now});
    if (added) insertion_order_.push_back(it);
  }
  while (insertion_order_.size() > kMaxEntries) {
    holders_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
}

double PrefixIndex::Match(const PrefixHashes& prefixes,
                          const BackendName& server, absl::Time now) const {
  size_t matched = 0;
  for (uint64_t hash : prefixes) {
    auto it = holders_.find(hash);
    if (it == holders_.end() || it->second.server != server ||
        now - it->second.at > kMaxAge) {
      break;
    }
    ++matched;
  }
  return prefixes.empty() ? 0
                          : static_cast<double>(matched) /
                                static_cast<double>(prefixes.size());
}

void PrefixIndex::OnMiss(const PrefixHashes& prefixes,
                         const BackendName& server) {
  for (uint64_t hash : prefixes) {
    auto it = holders_.find(hash);
    if (it != holders_.end() && it->second.server == server) {
      holders_.erase(it);
    }
  }
}

}  // namespace chervilwick
