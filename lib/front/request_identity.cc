// What makes two requests, or two parts of prompts, the same.

#include "chervilwick/front/request_identity.h"

#include <string>

#include "absl/strings/ascii.h"
#include "chervilwick/support/hash.h"

namespace chervilwick {
namespace {

// Keeps the fingerprints of parts apart from those of requests.
constexpr uint64_t kPartSeed = 1;

}  // namespace

Fingerprint WorkFingerprint(const HttpRequest& request) {
  // As routes are matched: without the port, in any case.
  std::string host = request.head.Get("Host");
  host = absl::AsciiStrToLower(host.substr(0, host.find(':')));
  uint64_t hash = StableHash(request.head.method);
  hash = StableHash(host, hash);
  hash = StableHash(request.head.target, hash);
  return Fingerprint(StableHash(request.body, hash));
}

std::vector<Fingerprint> PartFingerprints(const std::vector<std::string>& ids) {
  std::vector<Fingerprint> fingerprints;
  fingerprints.reserve(ids.size());
  for (const std::string& it : ids) {
    fingerprints.emplace_back(StableHash(it, kPartSeed));
  }
  return fingerprints;
}

}  // namespace chervilwick
