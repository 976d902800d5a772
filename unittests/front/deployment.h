// Test fixture: a front and a fake platform in one thread.

#ifndef CHERVILWICK_UNITTESTS_FRONT_DEPLOYMENT_H_
#define CHERVILWICK_UNITTESTS_FRONT_DEPLOYMENT_H_

#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "chervilwick/front/front_daemon.h"
#include "chervilwick/telemetry/request_story.h"
#include "platform/protocol.h"
#include "platform_standin.h"

namespace chervilwick {

// Operator's configuration with the routes /book/ (non-idempotent), /check/
// (idempotent), /note/ (non-resumable stream) and /report/ (resumable stream).
nlohmann::json DeploymentConfig(uint64_t version);

struct Answer {
  int status = 0;
  HttpHead head;
  std::string body;
  bool is_complete = false;
  bool is_broken = false;
};

// Store, prefill engine p1, decode engines d1 and d2, plain servers s1 and s2,
// and one front.
class TestDeployment {
 public:
  using Fault = PlatformEngine::Fault;

  TestDeployment();

  void Start();
  // Settings of another front that uses this one as its seed. `number` offsets
  // its IP address.
  FrontSettings PeerSettings(const std::string& name, int number = 1) const;
  void Add(const std::string& id, const std::string& service,
           const std::string& stage);
  void RemoveServer(const std::string& id);
  void SetFaults(const std::vector<std::string>& ids, Fault fault,
                 int count = 1000000);

  // From now on, the heads of requests that servers run are kept.
  void RecordRuns();

  // Sends a request. The answer is filled while the loop runs. If `body` is
  // empty, each POST gets a unique one.
  std::shared_ptr<Answer> SendRequest(const std::string& method,
                                      const std::string& target,
                                      const std::string& address = "",
                                      int deadline_ms = 2000,
                                      const std::string& body = "");
  // Sends a request and runs the loop until the response ends, for at most 4 s.
  Answer Get(const std::string& method, const std::string& target,
             const std::string& address = "");
  // Log output of the front so far.
  std::string LogText();
  // Record of a request, reconstructed from the log.
  RequestStory Story(const std::string& id);
  size_t Runs(const std::string& id) const;

  EventLoop loop;
  PlatformStore store;
  PlatformProtocol protocol;
  FrontSettings settings;
  std::string settings_file;
  HttpClient client;
  std::map<std::string, std::unique_ptr<PlatformEngine>> engines;
  std::unique_ptr<FrontDaemon> front;
  CallId last_call;
  std::vector<HttpField> extra_fields;  // of each request
  std::vector<HttpHead> seen;           // of runs, see RecordRuns
  int last_id = 0;  // request ids are "id1", "id2" and so on
  std::FILE* log = nullptr;
};

// Answer of a server to the question for its state.
std::string StateAnswer(int64_t born);
inline constexpr char kStateTarget[] = "/chervilwick/report";

// Events `from` to `to` of a stream, as encoded by engines.
std::string StreamEvents(int from, int to);

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_FRONT_DEPLOYMENT_H_
