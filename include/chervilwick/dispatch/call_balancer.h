// Choice of the backend server for a plain call.

#ifndef CHERVILWICK_DISPATCH_CALL_BALANCER_H_
#define CHERVILWICK_DISPATCH_CALL_BALANCER_H_

#include <set>

#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_table.h"

namespace chervilwick {

// The backend server with the least expected work ahead, by the requests in
// flight of all fronts, the places and the host's slowness; one in another
// availability zone only if it has clearly less. Null if all are excluded.
// Answers the steady load and the short bursts of plain calls, whose service
// times are too short for reports to follow.
BackendState* ChooseForCall(BackendTable& backends, const ServiceName& service,
                            const ZoneName& zone,
                            const std::set<BackendName>& excluded,
                            absl::Time now);

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_CALL_BALANCER_H_
