// One call to the store.

#ifndef CHERVILWICK_FRONT_STORE_CALL_H_
#define CHERVILWICK_FRONT_STORE_CALL_H_

#include <functional>
#include <string>

#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"

namespace chervilwick {

// Status 0: no answer within `timeout`; what was asked may have been done.
using StoreCallDone = std::function<void(int status, const std::string& body)>;

// Counts the call by its status.
void CallStore(FrontContext& context, const HttpRequest& request,
               absl::Duration timeout, StoreCallDone done);

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STORE_CALL_H_
