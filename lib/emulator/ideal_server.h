// The most that any router could get out of a fleet of engines.

#ifndef CHERVILWICK_LIB_EMULATOR_IDEAL_SERVER_H_
#define CHERVILWICK_LIB_EMULATOR_IDEAL_SERVER_H_

#include <deque>

#include "absl/time/time.h"
#include "chervilwick/emulator/day.h"

namespace chervilwick {

// A fluid of equal streams before engines that split into the two stages as
// suits the load best: places are bound by memory, starts by the speed at which
// prompts are read. Streams start by due time, and are lost once too late.
class IdealServer {
 public:
  explicit IdealServer(const DayOptions& options);

  // Engines that are up now; a slow one counts as a part of one.
  void SetEngines(double engines) { engines_ = engines; }
  // `streams` arrived in the tick that ends now.
  void Tick(absl::Time now, absl::Duration tick, double streams);
  // Streams started in time that arrived up to that second of the day.
  const std::vector<double>& on_time() const { return on_time_; }

 private:
  struct Amount {
    absl::Time at;  // when it is due, or ends
    double streams = 0;
    size_t second = 0;  // of its arrival
  };

  absl::Duration lead_;  // from the start to the first event
  absl::Duration objective_;
  absl::Duration stream_time_;  // at a decoding engine that is full
  double places_per_engine_;
  double prompts_per_second_;  // of an engine that reads prompts
  double decode_share_;        // of the engines
  double engines_ = 0;
  double running_ = 0;
  absl::Time start_;
  bool is_started_ = false;
  std::deque<Amount> waiting_;
  std::deque<Amount> ends_;
  std::vector<double> on_time_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LIB_EMULATOR_IDEAL_SERVER_H_
