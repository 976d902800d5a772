// When callers that were refused may come back.

#ifndef CHERVILWICK_DISPATCH_RETRY_AFTER_H_
#define CHERVILWICK_DISPATCH_RETRY_AFTER_H_

#include <cstdint>

#include "absl/time/time.h"

namespace chervilwick {

// Time that a refused caller is told to wait: `base`, prolonged by up to half
// of it, so that callers that were refused together don't come back together.
// `draw` differs from caller to caller.
absl::Duration SpreadRetryAfter(absl::Duration base, uint64_t draw);

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_RETRY_AFTER_H_
