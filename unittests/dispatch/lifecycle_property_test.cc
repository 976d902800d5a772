// Invariants of a stream under random behaviour of its engines.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

#include "lifecycle_fixture.h"

namespace chervilwick {
namespace {

// Simulates engines from random draws. Counts the calls that reached them
// independently of the lifecycle.
class RandomStream {
 public:
  RandomStream(bool resumable, int repeats)
      : is_resumable_(resumable), repeats_(repeats), stream_(resumable) {
    stream_.port.repeats_left = repeats;
    stream_.lifecycle.Start(stream_.now);
  }

  bool HasEnded() const { return is_complete_ || stream_.port.endings > 0; }

  void Step(uint8_t draw) {
    CountCalls();
    stream_.now += absl::Milliseconds(draw);
    bool has_prompt = !stream_.port.open_prompt.empty();
    bool has_decode = !stream_.port.open_decode.empty();
    if (!has_prompt && !has_decode) {
      StepWaiting(draw);
    } else if (draw % 5 == 0) {
      // No engine sends anything, and places may become free.
      stream_.Wait(absl::Milliseconds(7 * draw));
      CountCalls();
      if (!HasEnded()) stream_.Schedule();
    } else if (has_prompt && (!has_decode || draw % 2 == 0)) {
      StepPrompt(draw / 8);
    } else {
      StepDecode(draw / 8);
    }
    Check();
  }

  void CheckEnd() {
    Check();
    stream_.CheckAllReleased();
  }

 private:
  void StepWaiting(uint8_t draw) {
    stream_.Wait(absl::Milliseconds(draw));
    if (!HasEnded()) stream_.Schedule();
  }

  // Counts each new call as received. StepPrompt and StepDecode subtract those
  // that they report as unreachable.
  void CountCalls() {
    size_t prompts = stream_.port.prompts.size();
    if (prompts > prompts_seen_ && prompts > 1) ++counted_sends_;
    RC_ASSERT(prompts <= prompts_seen_ + 1);
    prompts_seen_ = prompts;
    size_t decodes = stream_.port.decodes.size();
    RC_ASSERT(decodes <= decodes_seen_ + 1);
    if (decodes > decodes_seen_) {
      // A stream that may have run is sent again only if it is resumable.
      RC_ASSERT(is_resumable_ || may_have_run_ == 0);
      ++counted_sends_;
      ++may_have_run_;
      is_run_streaming_ = false;
    }
    decodes_seen_ = decodes;
    // Never two open calls of one stage, and never more runs than attempts.
    RC_ASSERT(stream_.port.overlapping_calls == 0);
    RC_ASSERT(may_have_run_ <=
              static_cast<int>(Stream::Terms(is_resumable_).attempts));
  }

  void StepPrompt(uint8_t draw) {
    bool is_first = prompts_seen_ == 1;
    StreamLifecycle& lifecycle = stream_.lifecycle;
    stream_.port.open_prompt.clear();
    switch (draw % 4) {
      case 0:
        if (is_first) ++counted_sends_;
        lifecycle.OnPromptFailed(PromptFailure::kRefused, stream_.now);
        break;
      case 1:
        if (!is_first) --counted_sends_;
        lifecycle.OnPromptFailed(PromptFailure::kUnreachable, stream_.now);
        break;
      case 2:
        lifecycle.OnPromptFailed(PromptFailure::kBroken, stream_.now);
        break;
      default:
        lifecycle.OnPromptRead(stream_.now);
        break;
    }
    CountCalls();
  }

  void StepDecode(uint8_t draw) {
    StreamLifecycle& lifecycle = stream_.lifecycle;
    if (draw % 4 == 3 && !is_run_streaming_) {
      is_run_streaming_ = true;
      has_streamed_ = true;
      last_event_ = stream_.now;
      lifecycle.OnStreaming(stream_.now);
      lifecycle.OnProgress(stream_.now);
      return;
    }
    if (draw % 4 == 2 && is_run_streaming_) {
      last_event_ = stream_.now;
      lifecycle.OnProgress(stream_.now);
      return;
    }
    stream_.port.open_decode.clear();
    if (is_run_streaming_) {
      if (draw % 4 == 3) {
        is_complete_ = true;
        lifecycle.OnCompleted(stream_.now);
      } else {
        lifecycle.OnDecodeFailed(DecodeFailure::kBroken, stream_.now);
      }
      return;
    }
    switch (draw % 4) {
      case 0:
        --may_have_run_;
        lifecycle.OnDecodeRefused(/*is_wrong_server=*/draw % 8 == 0,
                                  stream_.now);
        return;
      case 1:
        --may_have_run_;
        --counted_sends_;
        lifecycle.OnDecodeFailed(DecodeFailure::kUnreachable, stream_.now);
        return;
      default:
        lifecycle.OnDecodeFailed(DecodeFailure::kClosed, stream_.now);
        return;
    }
  }

  // No call is given up for an ending, except that of a stalled engine.
  void CheckNoOpenCall() {
    const StreamEnding& ending = *stream_.port.ending;
    RC_ASSERT(stream_.port.open_decode.empty());
    RC_ASSERT(stream_.port.open_prompt.empty());
    bool was_cancelled =
        !stream_.port.decodes.empty() && !stream_.port.cancelled.empty() &&
        stream_.port.cancelled.back() == stream_.port.decodes.back();
    if (ending.reason == "engine_stalled") {
      RC_ASSERT(stream_.now - last_event_ >=
                Stream::Terms(is_resumable_).stall_limit);
    } else {
      RC_ASSERT(!was_cancelled);
    }
  }

  void Check() {
    CountCalls();
    int taken = repeats_ - stream_.port.repeats_left;
    RC_ASSERT(stream_.port.repeats_left >= 0);
    // Each call received beyond the first has taken a retry from the budget,
    // and at most one unused retry is held.
    RC_ASSERT(taken >= counted_sends_ - 1);
    RC_ASSERT(taken <= std::max(counted_sends_, 1));
    RC_ASSERT(stream_.port.endings <= 1);
    if (!stream_.port.ending) return;
    CheckNoOpenCall();
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
  int counted_sends_ = 0;  // calls that count against the retry budget
  int may_have_run_ = 0;
  absl::Time last_event_;
  bool is_run_streaming_ = false;
  bool has_streamed_ = false;
  bool is_complete_ = false;
};

TEST_CASE("stream invariants hold under random engine failures", "[dispatch]") {
  rc::prop(
      "retry budget kept, no unwanted rerun, correct ending, capacity released",
      [](bool resumable, uint8_t repeats, const std::vector<uint8_t>& draws) {
        RandomStream it(resumable, repeats % 5);
        for (uint8_t draw : draws) {
          if (it.HasEnded()) break;
          it.Step(draw);
        }
        it.CheckEnd();
      });
}

}  // namespace
}  // namespace chervilwick
