// Test fixture: a front and a fake platform in one thread.

#include "deployment.h"

#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

Json RouteJson(const std::string& name, const std::string& kind,
               const std::string& service, int attempts) {
  return {
      {"name", name},      {"host", "h"},        {"prefix", "/" + name + "/"},
      {"kind", kind},      {"timeout_ms", 3000}, {"goal_ms", 300},
      {"priority", 1},     {"service", service}, {"attempts", attempts},
      {"gap_goal_ms", 200}};
}

}  // namespace

nlohmann::json DeploymentConfig(uint64_t version) {
  Json resumable = RouteJson("report", "streaming", "llm", 2);
  resumable["resumable"] = true;
  return {{"version", version},
          {"routes",
           {RouteJson("book", "non_idempotent", "desk", 1),
            RouteJson("check", "idempotent", "desk", 2),
            RouteJson("note", "streaming", "llm", 1), resumable}},
          {"services",
           {{{"name", "llm"},
             {"max_conns", 100},
             {"engine",
              {{"slots", 16},
               {"kv_capacity", 38000},
               {"kv_ttl_s", 0.5},
               {"switch_s", 1.0}}}},
            {{"name", "desk"}, {"max_conns", 96}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 100000},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

TestDeployment::TestDeployment() : store(loop), client(loop, absl::Seconds(3)) {
  store.Put("op/config", DeploymentConfig(1).dump());
  Add("p1", "llm", "prefill");
  Add("d1", "llm", "decode");
  Add("d2", "llm", "decode");
  Add("s1", "desk", "");
  Add("s2", "desk", "");
  settings.name = "front-1";
  settings.zone = "a";
  settings.clients = FreeEndpoint().ToString();
  settings.ready = FreeEndpoint().ToString();
  settings.control = FreeEndpoint().ToString();
  settings.metrics = FreeEndpoint().ToString();
  settings.peers = FreeEndpoint().ToString();
  settings.store = store.endpoint().ToString();
}

void TestDeployment::Start() {
  log = std::tmpfile();
  front = std::make_unique<FrontDaemon>(loop, settings, settings_file, protocol,
                                        fileno(log));
  std::optional<std::string> problem = front->Start();
  INFO(problem.value_or(""));
  REQUIRE_FALSE(problem.has_value());
  // Most of the retry budget is for fronts that have run for a window.
  front->SetStartTime(loop.Now() - settings.retry_window);
  loop.RunFor(absl::Milliseconds(150));
}

FrontSettings TestDeployment::PeerSettings(const std::string& name,
                                           int number) const {
  // All fronts use the same ports, so each needs its own IP address.
  auto with_offset = [number](const std::string& address) {
    Endpoint endpoint = *Endpoint::Parse(address);
    endpoint.ip += static_cast<uint32_t>(number);
    return endpoint.ToString();
  };
  FrontSettings peer = settings;
  peer.name = name;
  peer.clients = with_offset(settings.clients);
  peer.ready = with_offset(settings.ready);
  peer.control = with_offset(settings.control);
  peer.metrics = with_offset(settings.metrics);
  peer.peers = with_offset(settings.peers);
  peer.seeds = settings.control;
  return peer;
}

void TestDeployment::Add(const std::string& id, const std::string& service,
                         const std::string& stage) {
  PlatformEngine::Options options;
  options.id = id;
  options.service = service;
  options.stage = stage;
  engines[id] = std::make_unique<PlatformEngine>(loop, options);
  store.Put(engines[id]->Key(), engines[id]->Entry());
}

std::shared_ptr<Answer> TestDeployment::SendRequest(const std::string& method,
                                                    const std::string& target,
                                                    const std::string& address,
                                                    int deadline_ms,
                                                    const std::string& body) {
  HttpRequest request;
  request.head.method = method;
  request.head.target = target;
  request.head.fields = {{"Host", "h"},
                         {"X-Request-Id", absl::StrCat("id", ++last_id)},
                         {"X-Deadline-Ms", absl::StrCat(deadline_ms)},
                         {"X-Token-Count", "3200,900"}};
  request.head.fields.insert(request.head.fields.end(), extra_fields.begin(),
                             extra_fields.end());
  if (method == "POST") {
    request.body = body.empty() ? absl::StrCat("body ", last_id) : body;
  }
  auto answer = std::make_shared<Answer>();
  last_call = client.Start(
      *Endpoint::Parse(address.empty() ? settings.clients : address), request,
      CallOptions(), [answer](CallEvent event) {
        std::visit(Overloaded{
                       [&](HttpHead& it) {
                         answer->status = it.status;
                         answer->head = std::move(it);
                       },
                       [&](HttpBodyPart& it) {
                         absl::StrAppend(&answer->body, it.bytes);
                       },
                       [&](HttpEnd&) { answer->is_complete = true; },
                       [&](CallFailure&) { answer->is_broken = true; },
                   },
                   event);
      });
  return answer;
}

Answer TestDeployment::Get(const std::string& method, const std::string& target,
                           const std::string& address) {
  auto answer = SendRequest(method, target, address);
  absl::Time end = loop.Now() + absl::Seconds(4);
  while (!answer->is_complete && !answer->is_broken && loop.Now() < end) {
    loop.RunFor(absl::Milliseconds(5));
  }
  return *answer;
}

std::string TestDeployment::LogText() {
  loop.RunFor(absl::Milliseconds(250));
  std::rewind(log);
  std::string text;
  std::array<char, 4096> buf;
  while (size_t n = std::fread(buf.data(), 1, buf.size(), log)) {
    text.append(buf.data(), n);
  }
  return text;
}

RequestStory TestDeployment::Story(const std::string& id) {
  std::stringstream text(LogText());
  std::optional<RequestStory> story = ReadStory(text, id);
  REQUIRE(story.has_value());
  return *story;
}

size_t TestDeployment::Runs(const std::string& id) const {
  return engines.at(id)->runs().size();
}

void TestDeployment::RemoveServer(const std::string& id) {
  store.Remove("servers/" + id);
  loop.RunFor(absl::Milliseconds(200));
}

void TestDeployment::RecordRuns() {
  for (auto& it : engines) {
    it.second->CrashOn(
        [this](const HttpRequest& request) {
          seen.push_back(request.head);
          return false;
        },
        PlatformEngine::CrashMode::kClosed, absl::Seconds(1), [] {});
  }
}

void TestDeployment::SetFaults(const std::vector<std::string>& ids, Fault fault,
                               int count) {
  for (const std::string& it : ids) engines.at(it)->SetFault(fault, count);
}

std::string StateAnswer(int64_t born) {
  std::string body = absl::StrCat(R"({"born":)", born, "}");
  return EncodeResponse({200, {}, body}, /*keep_alive=*/true);
}

std::string StreamEvents(int from, int to) {
  std::string out;
  for (int it = from; it <= to; ++it) {
    absl::StrAppend(&out, "id: ", it, "\ndata: e", it, "\n\n");
  }
  return out;
}

}  // namespace chervilwick
