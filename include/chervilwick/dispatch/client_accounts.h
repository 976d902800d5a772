// Client accounts of one configuration version: their keys, priorities and
// caps.

#ifndef CHERVILWICK_DISPATCH_CLIENT_ACCOUNTS_H_
#define CHERVILWICK_DISPATCH_CLIENT_ACCOUNTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "chervilwick/support/strong_type.h"

namespace chervilwick {

using AccountName = StrongType<struct AccountNameTag, std::string>;

// SHA-256 of a key, 32 bytes. Keys themselves are not kept.
using KeyDigest = StrongType<struct KeyDigestTag, std::string>;

KeyDigest DigestOfKey(absl::string_view key);

// Limit on what an account may run over all fronts.
struct AccountCap {
  enum class Unit { kRequests, kTokens };

  Unit unit = Unit::kRequests;
  double rate_per_s = 0;  // 0: no limit
  double burst = 0;
  // Tokens that a request without token counts is charged.
  uint32_t plain_tokens = 1;

  bool IsLimited() const { return rate_per_s > 0; }
  // Units that a request is charged. `tokens` is the sum of its token counts;
  // 0 if it has none.
  int64_t CostOf(uint64_t tokens) const;
  friend bool operator==(const AccountCap& a, const AccountCap& b) {
    return a.unit == b.unit && a.rate_per_s == b.rate_per_s &&
           a.burst == b.burst && a.plain_tokens == b.plain_tokens;
  }
};

struct ClientAccount {
  AccountName name;
  std::vector<KeyDigest> keys;
  std::optional<int> priority;  // takes the place of the route's; 0 is first
  AccountCap cap;
};

// Credentials of one request.
struct Credentials {
  enum class Kind { kNone, kMalformed, kKey };

  Kind kind = Kind::kNone;
  KeyDigest key;  // of kKey
};

// What the configuration in force makes of a request's credentials.
struct Authorization {
  bool is_allowed = true;
  // Set if the configuration holds accounts; empty for a request on a public
  // route without a valid key.
  std::optional<AccountName> account;
  std::optional<int> priority;  // of the account, if it has one
};

class AccountTable {
 public:
  AccountTable() = default;
  // If two accounts hold one key, the first of them owns it.
  explicit AccountTable(std::vector<ClientAccount> accounts);

  // Returns the account that holds the key; null if there is none.
  const ClientAccount* FindByKey(const KeyDigest& key) const;
  const ClientAccount* FindByName(const AccountName& name) const;
  const std::vector<ClientAccount>& all() const { return accounts_; }

 private:
  std::vector<ClientAccount> accounts_;
  std::map<KeyDigest, size_t> by_key_;
  std::map<AccountName, size_t> by_name_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_CLIENT_ACCOUNTS_H_
