// Outcomes of requests that can't be served.

#ifndef CHERVILWICK_ENTRY_OUTCOMES_H_
#define CHERVILWICK_ENTRY_OUTCOMES_H_

#include <string>

#include "absl/time/time.h"
#include "chervilwick/entry/entry_types.h"

namespace chervilwick {

// The request did not run and will not run; the client may safely retry it.
RequestOutcome NotRun(int http_status, std::string code, std::string message,
                      absl::Duration retry_after);
// The request may have run, completely or in part, and failed.
RequestOutcome Failed(int http_status, std::string code, std::string message);
// It is not known whether the request ran.
RequestOutcome UnknownOutcome(std::string message);

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_OUTCOMES_H_
