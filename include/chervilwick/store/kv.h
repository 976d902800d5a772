// Typed calls on the platform's key-value service. The cores, which do no I/O,
// issue calls and process the replies; a client performs the calls.

#ifndef CHERVILWICK_STORE_KV_H_
#define CHERVILWICK_STORE_KV_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"

namespace chervilwick {

// A key with its value and the revision of its last change. An absent key has
// revision zero.
struct KvValue {
  std::string key;
  std::string value;
  int64_t mod_revision = 0;
};

// Reads [key, range_end), or the one key when range_end is empty.
struct KvRange {
  std::string key;
  std::string range_end;
  uint32_t limit = 0;  // 0: no limit
};

struct KvCompare {
  std::string key;
  int64_t mod_revision = 0;
};

struct KvPut {
  std::string key;
  std::string value;
  int64_t lease = 0;  // 0: kept until deleted
};

// Requests a lease; keys attached to it are deleted when it expires.
struct KvLeaseGrant {
  absl::Duration time_to_live;
};

// Deletes [key, range_end).
struct KvDelete {
  std::string key;
  std::string range_end;
};

// Applies the changes when all compares hold; otherwise changes nothing and
// reads the compared keys.
struct KvTxn {
  std::vector<KvCompare> compares;
  std::vector<KvPut> puts;
  std::vector<KvDelete> deletes;
};

struct KvCall {
  uint64_t call_id = 0;  // chosen by the caller, copied to the reply
  std::variant<KvRange, KvTxn, KvLeaseGrant> body;
};

enum class KvOutcome {
  kOk,             // read, or transaction applied
  kCompareFailed,  // nothing changed; values hold the compared keys
  kUnavailable,    // the service did not receive the call
  // No valid reply: a transaction may have taken effect, or still may.
  kUnknown,
};

struct KvReply {
  uint64_t call_id = 0;
  KvOutcome outcome = KvOutcome::kUnavailable;
  std::vector<KvValue> values;
  int64_t revision = 0;  // of the store
  int64_t lease = 0;     // granted
};

}  // namespace chervilwick

#endif  // CHERVILWICK_STORE_KV_H_
