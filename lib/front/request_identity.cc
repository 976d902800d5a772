// What makes two requests the same.

#include "chervilwick/front/request_identity.h"

#include <string>

#include "absl/strings/ascii.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {

Fingerprint WorkFingerprint(const HttpRequest& request) {
  // As routes are matched: without the port, in any case.
  std::string host = request.head.Get("Host");
  host = absl::AsciiStrToLower(host.substr(0, host.find(':')));
  uint64_t hash = StableHash(request.head.method);
  hash = StableHash(host, hash);
  hash = StableHash(request.head.target, hash);
  return Fingerprint(StableHash(request.body, hash));
}

}  // namespace chervilwick
