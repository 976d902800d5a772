// Questions to servers about their starts.

#include "chervilwick/front/start_queries.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <optional>
#include <vector>

#include "deployment.h"

namespace chervilwick {
namespace {

class Questions {
 public:
  Questions() {
    it.log = std::tmpfile();
    it.Start();
    context = std::make_unique<FrontContext>(it.loop, it.protocol, it.settings,
                                             fileno(it.log));
    queries = std::make_unique<StartQueries>(*context);
    context->backends.Upsert(
        it.front->context().backends.Find(BackendName("d1"))->record);
  }

  void Ask() {
    queries->Ask(BackendName("d1"), [this](std::optional<int64_t> born) {
      answers.push_back(born);
    });
  }
  PlatformEngine& Engine() { return *it.engines.at("d1"); }

  TestDeployment it;
  std::unique_ptr<FrontContext> context;
  std::unique_ptr<StartQueries> queries;
  std::vector<std::optional<int64_t>> answers;
};

TEST_CASE("each question about a server takes a call", "[front][starts]") {
  Questions questions;
  for (int n = 0; n < 10; ++n) questions.Ask();
  questions.it.loop.RunFor(absl::Milliseconds(100));
  // The others came after the first call was sent, and share the next one.
  CHECK(questions.Engine().reports() == 2);
  REQUIRE(questions.answers.size() == 10);
  for (const auto& born : questions.answers) CHECK(born == 1700000000000);
}

TEST_CASE("question to a silent server has no end", "[front][starts]") {
  Questions questions;
  questions.Engine().SetAnswersReports(false);
  questions.Ask();
  questions.it.loop.RunFor(absl::Milliseconds(1600));
  REQUIRE(questions.answers.size() == 1);
  CHECK_FALSE(questions.answers[0]);
  CHECK(questions.Engine().reports() == 3);
  // The next one is asked anew.
  questions.Engine().SetAnswersReports(true);
  questions.Ask();
  questions.it.loop.RunFor(absl::Milliseconds(100));
  REQUIRE(questions.answers.size() == 2);
  CHECK(questions.answers[1]);
}

TEST_CASE("question to a server that is away for a moment is lost",
          "[front][starts]") {
  Questions questions;
  questions.Engine().Restart(absl::Milliseconds(80));
  questions.it.loop.RunFor(absl::Milliseconds(20));
  questions.Ask();
  questions.it.loop.RunFor(absl::Milliseconds(300));
  REQUIRE(questions.answers.size() == 1);
  CHECK(questions.answers[0] == 1700000000001);
}

TEST_CASE("question about a server that is not listed is lost",
          "[front][starts]") {
  Questions questions;
  questions.context->backends.Remove(BackendName("d1"));
  questions.Ask();
  questions.it.loop.RunFor(absl::Milliseconds(300));
  REQUIRE(questions.answers.size() == 1);
  CHECK_FALSE(questions.answers[0]);
}

}  // namespace
}  // namespace chervilwick
