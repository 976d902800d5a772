// Recognizes requests that their clients have tried before.

#ifndef CHERVILWICK_DISPATCH_CLIENT_DEADLINES_H_
#define CHERVILWICK_DISPATCH_CLIENT_DEADLINES_H_

#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "chervilwick/dispatch/route_table.h"

namespace chervilwick {

// A client's deadline counts from its first attempt, and each attempt says what
// is left of it. The time that is missing from the longest deadline seen on the
// route was spent on earlier attempts. Latency objectives count from the first
// attempt, too: one that is missed already should not displace one that is not.
class ClientDeadlines {
 public:
  // Time spent before a request that arrived with that deadline; at most the
  // route's timeout.
  absl::Duration SpentBefore(const Route& route,
                             std::optional<absl::Duration> deadline,
                             absl::Time now);

 private:
  struct Longest {
    absl::Duration deadline;
    absl::Time seen;
  };

  std::map<std::string, Longest> routes_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_CLIENT_DEADLINES_H_
