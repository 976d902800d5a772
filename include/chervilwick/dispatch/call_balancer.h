// Load balancing of plain calls.

#ifndef CHERVILWICK_DISPATCH_CALL_BALANCER_H_
#define CHERVILWICK_DISPATCH_CALL_BALANCER_H_

#include <set>

#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_table.h"

namespace chervilwick {

// Returns the backend server with the least expected load, computed from the
// requests in flight of all fronts, the slots, the host's slowness and recent
// failures and refusals. A server in another availability zone is chosen only
// if its load is clearly lower. Null if there is no candidate. Requests in
// flight are used because plain calls are too short for load reports to keep up
// with steady load and short bursts.
BackendState* ChooseForCall(BackendTable& backends, const ServiceName& service,
                            const ZoneName& zone,
                            const std::set<BackendName>& excluded,
                            absl::Time now);

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_CALL_BALANCER_H_
