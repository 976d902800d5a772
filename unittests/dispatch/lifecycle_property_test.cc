// What holds for a stream whatever its engines do.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

#include "lifecycle_fixture.h"

namespace chervilwick {
namespace {

using Phase = StreamLifecycle::Phase;

// Plays engines by draws and counts, apart from the lifecycle, what reached
// them.
class DrawnStream {
 public:
  DrawnStream(bool resumable, int repeats)
      : is_resumable_(resumable), repeats_(repeats), stream_(resumable) {
    stream_.port.repeats_left = repeats;
    stream_.lifecycle.Start(stream_.now);
  }

  bool HasEnded() const { return is_whole_ || stream_.port.endings > 0; }

  void Play(uint8_t draw) {
    NoteCalls();
    stream_.now += absl::Milliseconds(draw);
    switch (stream_.lifecycle.phase()) {
      case Phase::kWaiting:
        stream_.Schedule();
        break;
      case Phase::kPrompt:
        EndPrompt(draw);
        break;
      case Phase::kDecode:
        PlayDecode(draw);
        break;
    }
    Check();
  }

  void CheckEnd() {
    Check();
    stream_.CheckNothingHeld();
  }

 private:
  // Each call arrives unless it is said later that it did not.
  void NoteCalls() {
    size_t prompts = stream_.port.prompts.size();
    if (prompts > prompts_seen_ && prompts > 1) ++arrivals_;
    prompts_seen_ = prompts;
    size_t decodes = stream_.port.decodes.size();
    if (decodes > decodes_seen_) {
      // What may have run is not run again unless the route says so.
      RC_ASSERT(is_resumable_ || may_have_run_ == 0);
      ++arrivals_;
      ++may_have_run_;
      is_run_streaming_ = false;
    }
    decodes_seen_ = decodes;
  }

  void EndPrompt(uint8_t draw) {
    bool is_first = prompts_seen_ == 1;
    StreamLifecycle& lifecycle = stream_.lifecycle;
    switch (draw % 4) {
      case 0:
        if (is_first) ++arrivals_;
        lifecycle.OnPromptFailed(PromptFailure::kRefused, stream_.now);
        break;
      case 1:
        if (!is_first) --arrivals_;
        lifecycle.OnPromptFailed(PromptFailure::kUnreachable, stream_.now);
        break;
      case 2:
        lifecycle.OnPromptFailed(PromptFailure::kBroken, stream_.now);
        break;
      default:
        lifecycle.OnPromptRead(stream_.now);
        break;
    }
    NoteCalls();
  }

  void PlayDecode(uint8_t draw) {
    StreamLifecycle& lifecycle = stream_.lifecycle;
    if (!is_run_streaming_) {
      switch (draw % 4) {
        case 0:
          --may_have_run_;
          lifecycle.OnDecodeNotRun(/*is_wrong_server=*/draw % 8 == 0,
                                   stream_.now);
          return;
        case 1:
          --may_have_run_;
          --arrivals_;
          lifecycle.OnDecodeBroken(DecodeFailure::kUnreachable, stream_.now);
          return;
        case 2:
          lifecycle.OnDecodeBroken(DecodeFailure::kClosed, stream_.now);
          return;
        default:
          is_run_streaming_ = true;
          has_streamed_ = true;
          lifecycle.OnStreaming(stream_.now);
          lifecycle.OnProgress(stream_.now);
          return;
      }
    }
    switch (draw % 4) {
      case 0:
        lifecycle.OnDecodeBroken(DecodeFailure::kBroken, stream_.now);
        return;
      case 1:
        if (lifecycle.OnDecodeSilent(stream_.now) ==
            StreamLifecycle::SilenceVerdict::kResume) {
          lifecycle.OnDecodeBroken(DecodeFailure::kBroken, stream_.now);
        }
        return;
      case 2:
        lifecycle.OnProgress(stream_.now);
        return;
      default:
        is_whole_ = true;
        lifecycle.OnWhole(stream_.now);
        return;
    }
  }

  void Check() {
    NoteCalls();
    int taken = repeats_ - stream_.port.repeats_left;
    RC_ASSERT(stream_.port.repeats_left >= 0);
    // Paid for whatever arrived beyond the first, and at most one ahead.
    RC_ASSERT(taken >= arrivals_ - 1);
    RC_ASSERT(taken <= std::max(arrivals_, 1));
    RC_ASSERT(stream_.port.endings <= 1);
    if (!stream_.port.ending) return;
    switch (stream_.port.ending->kind) {
      case StreamEnding::Kind::kRefused:
        RC_ASSERT(may_have_run_ == 0);
        RC_ASSERT(!has_streamed_);
        RC_ASSERT(stream_.port.ending->retry_after > absl::ZeroDuration());
        break;
      case StreamEnding::Kind::kFailed:
        RC_ASSERT(may_have_run_ > 0);
        RC_ASSERT(!has_streamed_);
        break;
      case StreamEnding::Kind::kCut:
        RC_ASSERT(has_streamed_);
        break;
    }
  }

  const bool is_resumable_;
  const int repeats_;
  Stream stream_;
  size_t prompts_seen_ = 0;
  size_t decodes_seen_ = 0;
  int arrivals_ = 0;  // that the retry budget counts
  int may_have_run_ = 0;
  bool is_run_streaming_ = false;
  bool has_streamed_ = false;
  bool is_whole_ = false;
};

TEST_CASE("a stream keeps its promises whatever its engines do", "[dispatch]") {
  rc::prop(
      "budget, one run, truthful ending, nothing held",
      [](bool resumable, uint8_t repeats, const std::vector<uint8_t>& draws) {
        DrawnStream it(resumable, repeats % 5);
        for (uint8_t draw : draws) {
          if (it.HasEnded()) break;
          it.Play(draw);
        }
        it.CheckEnd();
      });
}

}  // namespace
}  // namespace chervilwick
