// Single calls to the store.

#include "chervilwick/front/store_call.h"

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {

void CallStore(FrontContext& context, const HttpRequest& request,
               absl::Duration timeout, StoreCallDone done) {
  struct Answer {
    int status = 0;
    std::string body;
  };
  auto answer = std::make_shared<Answer>();
  CallOptions options;
  options.timeout = timeout;
  context.client.Start(
      *Endpoint::Parse(context.settings.store), request, options,
      [&context, answer, done = std::move(done)](CallEvent event) {
        std::visit(
            Overloaded{
                [&](HttpHead& head) { answer->status = head.status; },
                [&](HttpBodyPart& part) {
                  absl::StrAppend(&answer->body, part.bytes);
                },
                [&](HttpEnd&) {
                  ++context.stats.store_calls[absl::StrCat(answer->status)];
                  done(answer->status, answer->body);
                },
                [&](CallFailure&) {
                  ++context.stats.store_calls["none"];
                  done(0, "");
                },
            },
            event);
      });
}

}  // namespace chervilwick
