// A deployment of the front and stand-ins in one thread.

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

// What an operator writes: routes /book/ (runs once), /check/ (repeatable),
// /note/ (a stream that runs once) and /report/ (one that can be resumed).
nlohmann::json DeploymentConfig(uint64_t version);

struct Answer {
  int status = 0;
  HttpHead head;
  std::string body;
  bool whole = false;
  bool broken = false;
};

// Store, engines p1, d1, d2, servers s1, s2, and one front.
class TestDeployment {
 public:
  using Fault = PlatformEngine::Fault;

  TestDeployment();

  void Start();
  // Settings of a further front, by its name and number, that finds this one.
  FrontSettings PeerSettings(const std::string& name, int number = 1) const;
  void Add(const std::string& id, const std::string& service,
           const std::string& stage);
  void RemoveServer(const std::string& id);
  void SetFaults(const std::vector<std::string>& ids, Fault fault,
                 int count = 1000000);

  // Sends a request; the answer fills while the loop runs. Without a body given
  // each POST has one of its own.
  std::shared_ptr<Answer> Ask(const std::string& method,
                              const std::string& target,
                              const std::string& address = "",
                              int deadline_ms = 2000,
                              const std::string& body = "");
  // Asks and waits for the end of the answer.
  Answer Get(const std::string& method, const std::string& target,
             const std::string& address = "");
  // What the front has logged so far.
  std::string LogText();
  // What the log tells of a request.
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
  int last_id = 0;  // requests have the ids "id1", "id2" and so on
  std::FILE* log = nullptr;
};

// The events of a stream from one number to another, as engines send them.
std::string StreamEvents(int from, int to);

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_FRONT_DEPLOYMENT_H_
