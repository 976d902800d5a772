// Outcomes of requests that can't be served.

#include "chervilwick/entry/outcomes.h"

#include <utility>

namespace chervilwick {
namespace {

constexpr int kBadGateway = 502;

}  // namespace

const char* RunStateName(RunState run) {
  switch (run) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kUnknown:
      return "unknown";
    case RunState::kFailed:
      return "failed";
    case RunState::kDone:
      return "done";
  }
  return "unknown";
}

RequestOutcome NotRun(int http_status, std::string code, std::string message,
                      absl::Duration retry_after) {
  RequestOutcome outcome;
  outcome.run = RunState::kNotRun;
  outcome.http_status = http_status;
  outcome.code = std::move(code);
  outcome.message = std::move(message);
  outcome.retry_after = retry_after;
  return outcome;
}

RequestOutcome Failed(int http_status, std::string code, std::string message) {
  RequestOutcome outcome;
  outcome.run = RunState::kFailed;
  outcome.http_status = http_status;
  outcome.code = std::move(code);
  outcome.message = std::move(message);
  return outcome;
}

RequestOutcome UnknownOutcome(std::string message) {
  RequestOutcome outcome;
  outcome.run = RunState::kUnknown;
  outcome.http_status = kBadGateway;
  outcome.code = "outcome_unknown";
  outcome.message = std::move(message);
  return outcome;
}

}  // namespace chervilwick
