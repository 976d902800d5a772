// Typed records of the platform's host list, which lags behind the hosts.

#ifndef CHERVILWICK_STORE_HOST_LIST_H_
#define CHERVILWICK_STORE_HOST_LIST_H_

#include <optional>
#include <string>
#include <vector>

#include "chervilwick/support/ids.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

// One process of the system and the host it runs on.
struct HostRecord {
  NodeName name;
  NodeRole role = NodeRole::kAgent;
  ZoneName zone;
  std::string address;  // "ip:port" of its internal protocol
  BackendName backend;  // agents only
  bool leaving = false;
};

// Parses the list from JSON. Invalid records are skipped. Returns nothing when
// the text is not a JSON object with an array `hosts`.
std::optional<std::vector<HostRecord>> ParseHostList(const std::string& text);

}  // namespace chervilwick

#endif  // CHERVILWICK_STORE_HOST_LIST_H_
