// Questions to backend servers about their current start.

#ifndef CHERVILWICK_FRONT_START_QUERIES_H_
#define CHERVILWICK_FRONT_START_QUERIES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilwick/front/front_context.h"

namespace chervilwick {

// Asks servers when they started. Questions about a server that come while a
// call to it is open share the next one: an answer holds only for what the
// server has sent before the call.
class StartQueries {
 public:
  // Start in Unix milliseconds; 0 if the server answers without one, nullopt if
  // it does not answer.
  using Done = std::function<void(std::optional<int64_t> born_unix_ms)>;

  explicit StartQueries(FrontContext& context)
      : context_(context), retry_(context.loop, [this] { SendAgain(); }) {}

  void Ask(const BackendName& backend, Done done);

 private:
  struct Query {
    bool is_open = false;  // else the call is to be sent again
    int tries = 0;
    int status = 0;
    std::string body;
    std::vector<Done> asked;  // of the call that is open or sent again
    std::vector<Done> next;
  };

  void Send(const BackendName& backend);
  void SendAgain();
  void OnEvent(const BackendName& backend, CallEvent event);
  void OnFailed(const BackendName& backend);
  void Finish(const BackendName& backend, std::optional<int64_t> born_unix_ms);

  FrontContext& context_;
  Timer retry_;
  bool is_retry_armed_ = false;
  std::map<BackendName, Query> queries_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_START_QUERIES_H_
