// Retry delays for refused requests.

#ifndef CHERVILWICK_DISPATCH_RETRY_AFTER_H_
#define CHERVILWICK_DISPATCH_RETRY_AFTER_H_

#include <cstdint>

#include "absl/time/time.h"

namespace chervilwick {

// Returns `base` plus jitter of up to half of it, so that clients that were
// refused at the same time don't retry at the same time. `draw` selects the
// jitter and should differ between requests.
absl::Duration JitteredRetryAfter(absl::Duration base, uint64_t draw);

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_RETRY_AFTER_H_
