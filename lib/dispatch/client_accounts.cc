// Client accounts of one configuration version.

#include "chervilwick/dispatch/client_accounts.h"

#include <sodium/crypto_hash_sha256.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace chervilwick {

KeyDigest DigestOfKey(absl::string_view key) {
  std::string digest(crypto_hash_sha256_BYTES, '\0');
  crypto_hash_sha256(reinterpret_cast<unsigned char*>(digest.data()),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size());
  return KeyDigest(std::move(digest));
}

int64_t AccountCap::CostOf(uint64_t tokens) const {
  if (unit == Unit::kRequests) return 1;
  if (tokens == 0) return plain_tokens;
  return static_cast<int64_t>(
      std::min<uint64_t>(tokens, std::numeric_limits<uint32_t>::max()));
}

AccountTable::AccountTable(std::vector<ClientAccount> accounts)
    : accounts_(std::move(accounts)) {
  for (size_t n = 0; n < accounts_.size(); ++n) {
    by_name_.try_emplace(accounts_[n].name, n);
    for (const KeyDigest& it : accounts_[n].keys) by_key_.try_emplace(it, n);
  }
}

const ClientAccount* AccountTable::FindByKey(const KeyDigest& key) const {
  auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : &accounts_[it->second];
}

const ClientAccount* AccountTable::FindByName(const AccountName& name) const {
  auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : &accounts_[it->second];
}

}  // namespace chervilwick
