// Relay of a plain call: one answer, read whole before it is passed on.

#ifndef CHERVILWICK_FRONT_PLAIN_RELAY_H_
#define CHERVILWICK_FRONT_PLAIN_RELAY_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "chervilwick/front/relay.h"

namespace chervilwick {

// Sends a call that may run once only to a second backend server only after the
// first one certainly did not run it. Other calls may run again after a failure
// and, when the answer is slow, beside the first run.
class PlainRelay : public Relay {
 public:
  PlainRelay(FrontContext& context, AdmittedRequest admitted,
             Finished finished);
  ~PlainRelay() override;

  void Start() override;
  void OnClientGone() override;

 protected:
  void OnTimeout() override;

 private:
  struct Attempt {
    CallId call;
    BackendName backend;
    int64_t born_unix_ms = 0;  // of the server
    absl::Time sent;
    HttpHead head;
    std::string body;
  };

  void Send();
  // Servers are known to end under such requests: none gets it any more.
  bool EndIfQuarantined();
  // What the caller is told if no server may get its call.
  Ending NoBackend() const;
  void OnEvent(uint32_t number, CallEvent event);
  void OnFailure(uint32_t number, const CallFailure& failure);
  void OnAnswer(uint32_t number);
  void OnNotRun(const BackendName& backend, bool is_wrong_server);
  void OnSlow();
  // Whether a further send is taken out of the budget of repeats.
  enum class Cost { kNone, kRepeat };
  // A run gave nothing: repeats it where the route allows that.
  void RepeatOrFail(absl::string_view reason);
  // The attempt has no whole answer.
  void ReportLost(const Attempt& attempt, absl::string_view sign,
                  bool is_closed);
  void ReportUnreachable(const BackendName& backend);
  // Sends again, whatever the route: only for what has not run or may run
  // again. Ends the request if there is no send or no time left.
  void SendAgainOrEnd(Cost cost, const Ending& otherwise);
  void Deliver(const Attempt& attempt);
  Attempt Take(uint32_t number);
  void CancelAll();
  bool MayRunAgain() const;

  Timer slow_;
  std::map<uint32_t, Attempt> attempts_;
  std::set<BackendName> tried_;
  std::set<BackendName> broken_;  // of those, without an answer
  // An engine's failure, delivered if no other run does better.
  std::optional<Attempt> failure_answer_;
  uint32_t sends_ = 0;
  uint32_t runs_ = 0;  // sends that may have run
  bool is_client_gone_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_PLAIN_RELAY_H_
