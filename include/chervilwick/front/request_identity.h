// What makes two requests, or two parts of prompts, the same. The inputs are
// listed in docs/design/identity.md.

#ifndef CHERVILWICK_FRONT_REQUEST_IDENTITY_H_
#define CHERVILWICK_FRONT_REQUEST_IDENTITY_H_

#include <string>
#include <vector>

#include "chervilwick/net/http_message.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// Fingerprint of the work that a request asks for: its method, host, target and
// body. Equal on all fronts, for every attempt and for every client.
Fingerprint WorkFingerprint(const HttpRequest& request);

// Fingerprints of parts of a prompt, given their ids. A part is the same in
// every prompt, whatever its place there.
std::vector<Fingerprint> PartFingerprints(const std::vector<std::string>& ids);

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_REQUEST_IDENTITY_H_
