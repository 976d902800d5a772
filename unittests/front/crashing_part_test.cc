// Guards against requests that share a part of their prompt which crashes every
// engine that begins to write an answer on it: after a few crashes all fronts
// must refuse them, and serve those without that part.

#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/match.h"
#include "crash_deployment.h"

namespace chervilwick {
namespace {

// Crashes that the users allow until all fronts agree.
constexpr int kFreeCrashes = 5;

bool CrashesDecodeEngine(const HttpRequest& request) {
  return request.head.Get("X-Stage") != "prefill" &&
         absl::StrContains(request.head.Get("X-Prompt-Prefix"), "dead:");
}

// Sends unlike requests with the deadly part to the fronts in turn until they
// are refused; sound ones that share the other parts are sent between them.
void SendUntilRefused(CrashDeployment& it, const std::string& sound,
                      const std::string& deadly) {
  int refused = 0;
  for (int n = 0; n < 4 * kFreeCrashes && refused < kFronts; ++n) {
    CHECK(it.SendParts(absl::StrCat(sound, ",1", n, ":5"), n + 1).status ==
          200);
    Answer answer = it.SendParts(absl::StrCat(deadly, ",2", n, ":5"), n);
    refused = answer.status == 503 ? refused + 1 : 0;
    it.RunFor(kRetryPause);
  }
  CHECK(refused == kFronts);
  CHECK(it.Crashes() >= 3);
  CHECK(it.Crashes() <= kFreeCrashes);
}

TEST_CASE("a part of a prompt that crashes engines is refused at all fronts",
          "[front][crash]") {
  CrashDeployment it(&CrashesDecodeEngine, "/note/x", CrashMode::kClosed);
  SendUntilRefused(it, "aa:200", "aa:200,dead:300");
  int crashes = it.Crashes();
  for (int n = 0; n < 2 * kFronts; ++n) {
    CrashDeployment::CheckQuarantineResponse(
        it.SendParts(absl::StrCat("bb:1,dead:300,3", n, ":5"), n));
    CHECK(it.SendParts(absl::StrCat("aa:200,4", n, ":5"), n).status == 200);
    // The last part belongs to the request alone.
    CHECK(it.SendParts("aa:200,dead2:9", n).status == 200);
  }
  CHECK(it.Crashes() == crashes);
}

TEST_CASE("a deadly part between shared parts is told from them",
          "[front][crash]") {
  CrashDeployment it(&CrashesDecodeEngine, "/report/x", CrashMode::kClosed);
  SendUntilRefused(it, "aa:200,cc:100", "aa:200,dead:300,cc:100");
  CHECK(it.SendParts("aa:200,cc:100,5:5", 1).status == 200);
}

TEST_CASE("a verdict on a part survives a restart of all fronts",
          "[front][crash]") {
  CrashDeployment it(&CrashesDecodeEngine, "/note/x", CrashMode::kClosed);
  SendUntilRefused(it, "aa:200", "aa:200,dead:300");
  int crashes = it.Crashes();
  it.RunFor(absl::Seconds(2));
  CrashDeployment::CheckQuarantineResponse(
      it.SendPartsToIsolatedFront("aa:200,dead:300,6:5"));
  CHECK(it.Crashes() == crashes);
}

}  // namespace
}  // namespace chervilwick
