// Path and query of a request target.

#ifndef CHERVILWICK_NET_HTTP_TARGET_H_
#define CHERVILWICK_NET_HTTP_TARGET_H_

#include <string>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"

namespace chervilwick {

// Target in origin form, "/path?name=value&...", with the query decoded.
struct HttpTarget {
  std::string path;  // as sent
  absl::btree_map<std::string, std::string> params;

  static HttpTarget Parse(absl::string_view target);
  // Value of a parameter; empty where there is none.
  std::string Param(const std::string& name) const;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_NET_HTTP_TARGET_H_
