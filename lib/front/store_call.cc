// Single calls to the store.

#include "chervilwick/front/store_call.h"

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {

void CallStore(FrontContext& context, const HttpRequest& request,
               absl::Duration timeout, StoreCallDone done) {
  auto answer = std::make_shared<StoreAnswer>();
  CallOptions options;
  options.timeout = timeout;
  context.client.Start(
      *Endpoint::Parse(context.settings.store), request, options,
      [&context, answer, done = std::move(done)](CallEvent event) {
        std::visit(
            Overloaded{
                [&](HttpHead& head) {
                  answer->status = head.status;
                  answer->era =
                      context.protocol.ParseStoreEra(head).value_or(StoreEra());
                },
                [&](HttpBodyPart& part) {
                  absl::StrAppend(&answer->body, part.bytes);
                },
                [&](HttpEnd&) {
                  ++context.stats.store_calls[absl::StrCat(answer->status)];
                  done(*answer);
                },
                [&](CallFailure&) {
                  ++context.stats.store_calls["none"];
                  done(StoreAnswer());
                },
            },
            event);
      });
}

}  // namespace chervilwick
