// The platform's lagging list of hosts, as typed records.

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
  BackendName backend;  // of an agent
  bool leaving = false;
};

// Parses the list's JSON form. Records that can't be used are skipped; returns
// nothing when the text as a whole is no list.
std::optional<std::vector<HostRecord>> ParseHostList(const std::string& text);

}  // namespace chervilwick

#endif  // CHERVILWICK_STORE_HOST_LIST_H_
