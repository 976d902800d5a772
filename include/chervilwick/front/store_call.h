// Single calls to the store.

#ifndef CHERVILWICK_FRONT_STORE_CALL_H_
#define CHERVILWICK_FRONT_STORE_CALL_H_

#include <functional>
#include <string>

#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"

namespace chervilwick {

// Status 0 means that the call failed or timed out; the store may have carried
// it out.
struct StoreAnswer {
  int status = 0;
  StoreEra era;
  std::string body;
};
using StoreCallDone = std::function<void(const StoreAnswer& answer)>;

// Sends the request and counts the call by its status in the metrics.
void CallStore(FrontContext& context, const HttpRequest& request,
               absl::Duration timeout, StoreCallDone done);

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STORE_CALL_H_
