// Streams while engines of two software versions serve.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "deployment.h"

namespace chervilwick {
namespace {

constexpr int kDeadlineMs = 10000;
constexpr char kStream[] = "/report/x?events=40";

// Two decode engines of each version, and two fronts.
class TwoVersions {
 public:
  enum class NewVersion { kServes, kJoinsLater };

  explicit TwoVersions(NewVersion new_version = NewVersion::kServes) {
    it.Add("d3", "llm", "decode");
    it.Add("d4", "llm", "decode");
    SetVersion("p1", "v1");
    for (const char* id : {"d1", "d3"}) SetVersion(id, "v1");
    if (new_version == NewVersion::kServes) {
      JoinNewVersion();
    } else {
      for (const char* id : {"d2", "d4"}) {
        it.store.Remove(it.engines.at(id)->Key());
      }
    }
    nlohmann::json config = DeploymentConfig(1);
    for (auto& route : config["routes"]) route["timeout_ms"] = kDeadlineMs;
    it.store.Put("op/config", config.dump());
    it.settings.retry_slack = 100;
    it.log = std::tmpfile();
    StartFronts();
  }

  // All fronts at once lose what they know.
  void KillFronts() {
    fronts_.clear();
    StartFronts();
  }

  void KillFirstFront() { fronts_.erase(fronts_.begin()); }

  // Takes so long for an event.
  void SetEventTime(absl::Duration time) {
    for (const auto& engine : it.engines) engine.second->SetEventTime(time);
  }

  void JoinNewVersion() {
    for (const char* id : {"d2", "d4"}) SetVersion(id, "v2");
  }

  // The last front stands still from now on, or goes on.
  void SetLastFrontStill(bool is_still) { is_last_still_ = is_still; }

  void RunFor(absl::Duration duration) {
    absl::Time end = it.loop.Now() + duration;
    while (it.loop.Now() < end) {
      it.loop.RunFor(absl::Milliseconds(1));
      for (const auto& front : fronts_) {
        if (is_last_still_ && front == fronts_.back()) continue;
        front->loop.RunFor(absl::Milliseconds(1));
      }
    }
  }

  struct Stream {
    std::string id;
    std::string body;
    std::shared_ptr<Answer> answer;
  };

  std::vector<Stream> StartStreams(int n) {
    std::vector<Stream> streams;
    for (int number = 0; number < n; ++number) {
      streams.push_back(
          Send(it.settings.clients, absl::StrCat("body ", number)));
      RunFor(absl::Milliseconds(20));
    }
    RunFor(absl::Milliseconds(150));
    return streams;
  }

  // The client takes up what it has of the stream, at the last front.
  Stream TakeUp(const Stream& stream) {
    it.extra_fields = {
        {"Last-Event-Id", absl::StrCat(EventsOf(*stream.answer))},
        {"Resumes", stream.id}};
    Stream taken = Send(fronts_.back()->settings.clients, stream.body);
    it.extra_fields.clear();
    return taken;
  }

  // Number of whole events.
  static size_t EventsOf(const Answer& answer) {
    std::vector<std::string> events = absl::StrSplit(answer.body, "\n\n");
    return events.size() - 1;
  }

  // Versions at which these client attempts ran.
  std::set<std::string> VersionsOf(const std::set<std::string>& ids) const {
    std::set<std::string> versions;
    for (const auto& engine : it.engines) {
      for (const EngineRun& run : engine.second->runs()) {
        if (ids.count(run.request_id) == 0) continue;
        versions.insert(versions_.at(engine.first));
      }
    }
    return versions;
  }

  struct TakenUp {
    size_t joined = 0;   // from two versions
    size_t gone_on = 0;  // to their ends
    size_t open = 0;     // without an end of their answers
  };

  // Takes all streams up, in the reverse order.
  TakenUp TakeUpAll(std::vector<Stream> streams, absl::Duration gap) {
    std::reverse(streams.begin(), streams.end());
    std::vector<Stream> taken;
    for (const Stream& stream : streams) {
      REQUIRE(EventsOf(*stream.answer) > 0);
      taken.push_back(TakeUp(stream));
      RunFor(gap);
    }
    is_last_still_ = false;
    RunFor(absl::Seconds(2));
    TakenUp result;
    std::set<std::string> all;
    for (size_t n = 0; n < streams.size(); ++n) {
      const Answer& answer = *taken[n].answer;
      all.insert(streams[n].id);
      if (answer.is_complete && answer.status == 200) ++result.gone_on;
      if (!answer.is_complete && !answer.is_broken) ++result.open;
      if (VersionsOf({streams[n].id, taken[n].id}).size() > 1) ++result.joined;
    }
    CHECK(VersionsOf(all).size() == 2);
    return result;
  }

  // None may be joined from two versions, and half of them at least have to go
  // on.
  void CheckTakenUp(const std::vector<Stream>& streams) {
    TakenUp taken = TakeUpAll(streams, absl::Milliseconds(20));
    CHECK(taken.joined == 0);
    CHECK(2 * taken.gone_on >= streams.size());
  }

  TestDeployment it;

 private:
  // A front with its own event loop, so that it can be killed.
  struct Front {
    EventLoop loop;
    FrontSettings settings;
    std::unique_ptr<FrontDaemon> daemon;
  };

  void StartFronts() {
    StartFront(it.settings);
    StartFront(it.PeerSettings("front-2"));
    RunFor(absl::Milliseconds(600));
  }

  void StartFront(const FrontSettings& settings) {
    auto front = std::make_unique<Front>();
    front->settings = settings;
    front->daemon = std::make_unique<FrontDaemon>(front->loop, settings, "",
                                                  it.protocol, fileno(it.log));
    REQUIRE_FALSE(front->daemon->Start().has_value());
    front->daemon->SetStartTime(it.loop.Now() - settings.retry_window);
    fronts_.push_back(std::move(front));
  }

  void SetVersion(const std::string& id, const std::string& version) {
    nlohmann::json entry = nlohmann::json::parse(it.engines.at(id)->Entry());
    entry["version"] = version;
    it.store.Put(it.engines.at(id)->Key(), entry.dump());
    it.engines.at(id)->SetEventTime(absl::Milliseconds(30));
    versions_[id] = version;
  }

  Stream Send(const std::string& address, const std::string& body) {
    auto answer = it.SendRequest("POST", kStream, address, kDeadlineMs, body);
    return {absl::StrCat("id", it.last_id), body, answer};
  }

  std::map<std::string, std::string> versions_;
  std::vector<std::unique_ptr<Front>> fronts_;
  bool is_last_still_ = false;
};

TEST_CASE("stream goes on at another software version within one answer",
          "[front][software-versions]") {
  TwoVersions fleet;
  fleet.it.SetFaults({"d1", "d2"}, PlatformEngine::Fault::kAbortStream, 4);
  std::vector<TwoVersions::Stream> streams = fleet.StartStreams(12);
  fleet.RunFor(absl::Seconds(4));
  for (const auto& stream : streams) {
    CHECK(stream.answer->is_complete);
    CHECK(fleet.VersionsOf({stream.id}).size() == 1);
  }
}

TEST_CASE("stream taken up by its client goes on at another software version",
          "[front][software-versions]") {
  TwoVersions fleet;
  std::vector<TwoVersions::Stream> streams = fleet.StartStreams(12);
  fleet.KillFirstFront();
  fleet.RunFor(absl::Milliseconds(100));
  fleet.CheckTakenUp(streams);
}

TEST_CASE("stream goes on at another software version after a kill of all",
          "[front][software-versions]") {
  TwoVersions fleet;
  std::vector<TwoVersions::Stream> streams = fleet.StartStreams(12);
  fleet.KillFronts();
  fleet.CheckTakenUp(streams);
}

TEST_CASE("stream goes on at a version that has joined since it began",
          "[front][software-versions]") {
  TwoVersions fleet(TwoVersions::NewVersion::kJoinsLater);
  fleet.JoinNewVersion();
  fleet.RunFor(absl::Milliseconds(400));
  std::vector<TwoVersions::Stream> streams = fleet.StartStreams(12);
  fleet.KillFirstFront();
  fleet.CheckTakenUp(streams);
}

TEST_CASE("front that stood still joins streams of a version it does not know",
          "[front][software-versions]") {
  TwoVersions fleet(TwoVersions::NewVersion::kJoinsLater);
  fleet.SetLastFrontStill(true);
  fleet.JoinNewVersion();
  fleet.RunFor(absl::Milliseconds(400));
  std::vector<TwoVersions::Stream> streams = fleet.StartStreams(12);
  fleet.KillFirstFront();
  // The requests are there when the front goes on.
  TwoVersions::TakenUp taken = fleet.TakeUpAll(streams, absl::Milliseconds(20));
  CHECK(taken.joined == 0);
  CHECK(taken.open == 0);
}

TEST_CASE("streams that began while the store was silent are not taken up",
          "[front][software-versions]") {
  TwoVersions fleet;
  fleet.it.store.SetFault(PlatformStore::Fault::kSilent);
  fleet.SetEventTime(absl::Milliseconds(60));
  std::vector<TwoVersions::Stream> streams = fleet.StartStreams(12);
  fleet.RunFor(absl::Seconds(1));
  fleet.KillFirstFront();
  fleet.CheckTakenUp(streams);
}

TEST_CASE("streams are not taken up after the store lost where they began",
          "[front][software-versions]") {
  TwoVersions fleet;
  fleet.SetEventTime(absl::Milliseconds(50));
  fleet.it.store.KeepCopy();
  std::vector<TwoVersions::Stream> streams = fleet.StartStreams(12);
  fleet.it.store.ReturnFromCopy();
  CHECK_FALSE(fleet.it.store.Has("streams/" + streams[0].id));
  fleet.RunFor(absl::Milliseconds(800));
  CHECK(fleet.it.store.Has("streams/" + streams[0].id));
  fleet.KillFronts();
  fleet.CheckTakenUp(streams);
}

TEST_CASE("stream is joined after the store lost where it began",
          "[front][software-versions]") {
  TwoVersions fleet;
  fleet.it.store.KeepCopy();
  std::vector<TwoVersions::Stream> streams = fleet.StartStreams(12);
  fleet.it.store.ReturnFromCopy();
  fleet.KillFronts();
  TwoVersions::TakenUp taken = fleet.TakeUpAll(streams, absl::Milliseconds(20));
  CHECK(taken.joined == 0);
  CHECK(taken.open == 0);
}

TEST_CASE("stream whose client names no first attempt goes on anywhere",
          "[front][software-versions]") {
  TwoVersions fleet;
  std::vector<TwoVersions::Stream> streams = fleet.StartStreams(1);
  fleet.it.extra_fields = {{"Last-Event-Id", "2"}};
  auto answer = fleet.it.SendRequest("POST", "/report/x");
  fleet.RunFor(absl::Milliseconds(300));
  CHECK(answer->status == 503);
  CHECK(!answer->head.Get("Retry-After").empty());
  CHECK(fleet.VersionsOf({absl::StrCat("id", fleet.it.last_id)}).empty());
}

TEST_CASE("client that names no first attempt is refused at the only version",
          "[front][software-versions]") {
  TwoVersions fleet(TwoVersions::NewVersion::kJoinsLater);
  fleet.RunFor(absl::Milliseconds(400));
  fleet.it.extra_fields = {{"Last-Event-Id", "38"}};
  auto answer = fleet.it.SendRequest("POST", "/report/x?events=40");
  fleet.RunFor(absl::Milliseconds(400));
  CHECK(answer->status == 200);
  CHECK(answer->is_complete);
  fleet.JoinNewVersion();
  fleet.RunFor(absl::Milliseconds(600));
  answer = fleet.it.SendRequest("POST", "/report/x?events=40");
  fleet.RunFor(absl::Milliseconds(300));
  CHECK(answer->status == 503);
}

}  // namespace
}  // namespace chervilwick
