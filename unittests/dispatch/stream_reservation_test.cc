// Streams that reserve their place before the prompt is read.

#include <catch2/catch.hpp>

#include "lifecycle_fixture.h"

namespace chervilwick {
namespace {

StreamTerms ReservingTerms() {
  StreamTerms terms = Stream::Terms(/*resumable=*/false);
  terms.reserves_place = true;
  return terms;
}

struct ReservingStream : Stream {
  ReservingStream() : Stream(ReservingTerms()) {
    lifecycle.Start(now);
    Schedule();
    REQUIRE(port.reservations.size() == 1);
  }
};

TEST_CASE("the prompt is read once the place is reserved", "[place]") {
  ReservingStream it;
  CHECK(it.port.prompts.empty());
  it.lifecycle.OnPlaceReserved(it.now);
  REQUIRE(it.port.prompts.size() == 1);
  it.lifecycle.OnPromptRead(it.now);
  CHECK(it.port.decodes == it.port.reservations);
  CHECK(it.port.dropped_reservations == 0);
  it.CheckAllReleased();
  CHECK(it.port.dropped_reservations == 0);
}

TEST_CASE("a full engine is left for another one, without a prompt",
          "[place]") {
  ReservingStream it;
  it.lifecycle.OnReservationFailed(ReservationFailure::kRefused, it.now);
  it.Schedule();
  REQUIRE(it.port.reservations.size() == 2);
  CHECK(it.port.reservations[0] != it.port.reservations[1]);
  CHECK(it.port.prompts.empty());
  CHECK(it.port.dropped_reservations == 0);
  it.CheckAllReleased();
}

TEST_CASE("an engine that does not answer is left", "[place]") {
  ReservingStream it;
  it.Wait(absl::Milliseconds(150));
  it.Schedule();
  CHECK(it.port.dropped_reservations == 1);
  REQUIRE(it.port.reservations.size() == 2);
  CHECK(it.port.reservations[0] != it.port.reservations[1]);
  it.CheckAllReleased();
}

TEST_CASE("a place is given back if the prefill engine has left meanwhile",
          "[place]") {
  for (bool is_removed : {true, false}) {
    ReservingStream it;
    BackendName prefill = it.lifecycle.prompt_engine();
    if (is_removed) {
      it.table.Remove(prefill);
    } else {
      it.table.ReportLeaving(prefill, it.now);
    }
    it.lifecycle.OnPlaceReserved(it.now);
    CHECK(it.port.prompts.empty());
    CHECK(it.port.dropped_reservations == 1);
    it.Schedule();
    REQUIRE(it.port.reservations.size() == 2);
    it.lifecycle.OnPlaceReserved(it.now);
    REQUIRE(it.port.prompts.size() == 1);
    CHECK(it.port.prompts[0] != prefill.value());
    it.CheckAllReleased();
  }
}

TEST_CASE("a stream that may not run again is not sent to another engine",
          "[place]") {
  Stream it(/*resumable=*/true);
  it.StartAndReadPrompt();
  it.lifecycle.OnStreaming(it.now);
  it.lifecycle.SetMayRunAgain(false);
  it.lifecycle.OnDecodeFailed(DecodeFailure::kClosed, it.now);
  REQUIRE(it.port.ending.has_value());
  CHECK(it.port.ending->kind == StreamEnding::Kind::kCut);
  CHECK(it.port.decodes.size() == 1);
}

}  // namespace
}  // namespace chervilwick
