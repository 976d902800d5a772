// Engines that write an earlier answer once more on a kept connection.

#include <atomic>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "deployment.h"
#include "scripted_peer.h"

namespace chervilwick {
namespace {

std::string EntryAt(const Endpoint& address, const std::string& service,
                    const std::string& stage) {
  nlohmann::json entry = {{"service", service}, {"addr", address.ToString()},
                          {"zone", "a"},        {"version", "v1"},
                          {"slots", 16},        {"state", "ready"},
                          {"cold_left_ms", 0},  {"seq", 1},
                          {"born", 1}};
  if (!stage.empty()) entry["stage"] = stage;
  return entry.dump();
}

std::string WholeStreamTo(const std::string& id) {
  return absl::StrCat(StreamHeadTo(id), EncodeChunk(StreamEvents(1, 8)),
                      "0\r\n\r\n");
}

// Server whose first answer on a connection comes again, as it was or with
// other bytes, where the next answer is due.
class RepeatingPeer {
 public:
  explicit RepeatingPeer(ScriptedPeer::Script answer, std::string altered = "")
      : peer_([answer = std::move(answer), altered = std::move(altered)](
                  const HttpHead& request, const std::string& previous) {
          ScriptedPeer::Reply reply = answer(request, previous);
          reply.extra =
              previous.empty() || altered.empty() ? previous : altered;
          return reply;
        }) {}

  ScriptedPeer& operator*() { return peer_; }
  ScriptedPeer* operator->() { return &peer_; }

 private:
  ScriptedPeer peer_;
};

// Replaces all plain servers by two entries at one address: that of an engine
// that has ended, and that of the engine which started there after it.
void ListTwoAtOneAddress(TestDeployment& it, const Endpoint& address,
                         const std::string& service, const std::string& stage,
                         const std::vector<std::string>& replaced) {
  for (const std::string& id : replaced) it.store.Remove("servers/" + id);
  it.store.Put("servers/a-old", EntryAt(address, service, stage));
  it.store.Put("servers/b-new", EntryAt(address, service, stage));
}

// Before connections were kept apart by request, the engine ran the call and
// the client was told that it had not.
TEST_CASE(
    "repeated refusal is not taken for the answer to the call's next send",
    "[front][repeated]") {
  for (int status : {421, 503}) {
    for (const char* altered : {"", "other"}) {
      INFO(status << " " << altered);
      std::string bytes =
          *altered == 0 ? "" : RefusalTo("id1", status == 421 ? 503 : 421);
      RepeatingPeer peer(
          [status](const HttpHead& request, const std::string& /*previous*/) {
            std::string id = request.Get("X-Request-Id");
            bool is_old = request.Get("X-Expect-Instance") == "a-old";
            return ScriptedPeer::Reply{is_old ? RefusalTo(id, status)
                                              : SuccessTo(id, "ran")};
          },
          bytes);
      TestDeployment it;
      ListTwoAtOneAddress(it, peer->endpoint(), "desk", "", {"s1", "s2"});
      it.Start();
      Answer answer = it.Get("POST", "/book/x");
      REQUIRE(peer->Requests().size() == 2);
      CHECK(answer.status == 200);
      CHECK(answer.body == "ran");
    }
  }
}

TEST_CASE("repeated failure is not taken for the answer to the call's retry",
          "[front][repeated]") {
  std::atomic<int> calls{0};
  RepeatingPeer peer([&](const HttpHead& request, const std::string&) {
    std::string id = request.Get("X-Request-Id");
    HttpResponse failure{
        500, {{"X-Request-Id", id}, {"X-Response-Stamp", "e"}}, "failed"};
    return ScriptedPeer::Reply{++calls == 1 ? EncodeResponse(failure, true)
                                            : SuccessTo(id, "second run")};
  });
  TestDeployment it;
  for (const char* id : {"s1", "s2"}) {
    it.store.Remove(absl::StrCat("servers/", id));
  }
  it.store.Put("servers/e1", EntryAt(peer->endpoint(), "desk", ""));
  it.Start();
  Answer answer = it.Get("GET", "/check/x");
  REQUIRE(peer->Requests().size() == 2);
  CHECK(answer.status == 200);
  CHECK(answer.body == "second run");
}

// Guards against a stream that runs on at its engine while the front takes the
// prompt call's repeated answer for a refusal or for bytes without a stamp.
TEST_CASE("repeated answer to the prompt call does not end the decode call",
          "[front][repeated]") {
  struct Case {
    std::string name;
    std::string altered;
  };
  std::string handle = R"({"handle":"h9","tokens":3200,"version":1})";
  for (const Case& example :
       {Case{"the same handle", ""}, Case{"a refusal", RefusalTo("id1")},
        Case{"a stamped success", SuccessTo("id1", handle)},
        Case{"a stream", WholeStreamTo("id1") + "data: foreign\n\n"}}) {
    INFO(example.name);
    RepeatingPeer peer(
        [&handle](const HttpHead& request, const std::string&) {
          std::string id = request.Get("X-Request-Id");
          if (request.Get("X-Stage") == "prefill") {
            return ScriptedPeer::Reply{EncodeResponse(
                {200, {{"X-Request-Id", id}}, handle}, /*keep_alive=*/true)};
          }
          return ScriptedPeer::Reply{WholeStreamTo(id)};
        },
        example.altered);
    TestDeployment it;
    for (const char* id : {"p1", "d1", "d2"}) {
      it.store.Remove(absl::StrCat("servers/", id));
    }
    it.store.Put("servers/p9", EntryAt(peer->endpoint(), "llm", "prefill"));
    it.store.Put("servers/d9", EntryAt(peer->endpoint(), "llm", "decode"));
    it.Start();
    Answer answer = it.Get("POST", "/note/x");
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(answer.body == StreamEvents(1, 8));
    CHECK(peer->Requests().size() == 2);
  }
}

TEST_CASE("repeated decode refusal does not refuse the stream's next send",
          "[front][repeated]") {
  RepeatingPeer peer([](const HttpHead& request, const std::string&) {
    std::string id = request.Get("X-Request-Id");
    bool is_old = request.Get("X-Expect-Instance") == "a-old";
    return ScriptedPeer::Reply{is_old ? RefusalTo(id) : WholeStreamTo(id)};
  });
  TestDeployment it;
  ListTwoAtOneAddress(it, peer->endpoint(), "llm", "decode", {"d1", "d2"});
  it.Start();
  for (int n = 1; n <= 4; ++n) {
    size_t before = peer->Requests().size();
    Answer answer = it.Get("POST", "/note/x");
    CHECK(answer.status == 200);
    CHECK(answer.body == StreamEvents(1, 8));
    CHECK(peer->Requests().size() - before <= 2);
  }
}

}  // namespace
}  // namespace chervilwick
