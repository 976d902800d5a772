// Upper bound of a fleet's service.

#include "ideal_server.h"

#include <algorithm>

namespace chervilwick {

IdealServer::IdealServer(const DayOptions& options)
    : objective_(options.objective) {
  const EngineModelOptions& engine = options.front.engine;
  auto prompt = static_cast<double>(options.prompt_tokens);
  auto output = static_cast<double>(options.output_tokens);
  lead_ = absl::Milliseconds(prompt / engine.prompt_tokens_per_ms);
  // A stream holds half of its output on average.
  places_per_engine_ = std::min(
      static_cast<double>(engine.slots),
      static_cast<double>(engine.memory_tokens) / (prompt + output / 2));
  stream_time_ =
      output * (engine.step + engine.step_per_stream * places_per_engine_);
  prompts_per_second_ = 1 / absl::ToDoubleSeconds(lead_);
  double decodes_per_second =
      places_per_engine_ / absl::ToDoubleSeconds(stream_time_);
  decode_share_ =
      prompts_per_second_ / (prompts_per_second_ + decodes_per_second);
}

void IdealServer::Tick(absl::Time now, absl::Duration tick, double streams) {
  if (!is_started_) start_ = now;
  is_started_ = true;
  auto second = static_cast<size_t>(absl::ToDoubleSeconds(now - start_));
  on_time_.resize(std::max(on_time_.size(), second + 1));
  waiting_.push_back({now + objective_ - lead_, streams, second});
  while (!waiting_.empty() && waiting_.front().at < now) waiting_.pop_front();
  while (!ends_.empty() && ends_.front().at <= now) {
    running_ -= ends_.front().streams;
    ends_.pop_front();
  }
  double places = engines_ * decode_share_ * places_per_engine_ - running_;
  double prompts = engines_ * (1 - decode_share_) * prompts_per_second_ *
                   absl::ToDoubleSeconds(tick);
  double room = std::max(0.0, std::min(places, prompts));
  double started = 0;
  while (!waiting_.empty() && room > 0) {
    Amount& first = waiting_.front();
    double part = std::min(room, first.streams);
    on_time_[first.second] += part;
    first.streams -= part;
    room -= part;
    started += part;
    if (first.streams <= 0) waiting_.pop_front();
  }
  running_ += started;
  ends_.push_back({now + stream_time_, started, second});
}

}  // namespace chervilwick
