// What makes two requests the same.

#ifndef CHERVILWICK_FRONT_REQUEST_IDENTITY_H_
#define CHERVILWICK_FRONT_REQUEST_IDENTITY_H_

#include "chervilwick/net/http_message.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// Fingerprint of the work that a request asks for: its method, host, target and
// body. Equal on all fronts, for every attempt and for every client.
Fingerprint WorkFingerprint(const HttpRequest& request);

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_REQUEST_IDENTITY_H_
