// Load over HTTP.

#include "load_bench.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "chervilwick/engine/sse_reader.h"
#include "chervilwick/kernel/duty.h"
#include "chervilwick/support/host_port.h"
#include "chervilwick/support/mutex.h"

namespace chervilwick {
namespace {

constexpr int kTimeoutSeconds = 120;

// Samples of all streams.
class Samples {
 public:
  void Add(double first_ms, double per_token_ms) {
    MutexLock lock(&mutex_);
    first_ms_.push_back(first_ms);
    per_token_ms_.push_back(per_token_ms);
  }

  void Print() {
    MutexLock lock(&mutex_);
    PrintOne("first token ms", first_ms_);
    PrintOne("per token ms", per_token_ms_);
  }

 private:
  static void PrintOne(const char* name, std::vector<double>& values) {
    if (values.empty()) return;
    std::sort(values.begin(), values.end());
    auto at = [&](double share) {
      return values[static_cast<size_t>(
          share * static_cast<double>(values.size() - 1))];
    };
    std::printf("%-16s p50 %9.3f  p95 %9.3f  p99 %9.3f\n", name, at(0.5),
                at(0.95), at(0.99));
  }

  Mutex mutex_;
  std::vector<double> first_ms_ ABSL_GUARDED_BY(mutex_);
  std::vector<double> per_token_ms_ ABSL_GUARDED_BY(mutex_);
};

// Does what a router would: prefills at one engine for the other. Returns the
// transfer parameters.
std::optional<nlohmann::json> PrefillStraight(const LoadBenchOptions& options,
                                              nlohmann::json body) {
  HostPort target = SplitAddress(options.prefill_target);
  httplib::Client client(target.host, target.port);
  client.set_read_timeout(kTimeoutSeconds);
  client.set_tcp_nodelay(true);
  body["max_tokens"] = 1;
  body["stream"] = false;
  body["kv_transfer_params"] = {{"do_remote_decode", true}};
  httplib::Result result =
      client.Post("/v1/completions", body.dump(), "application/json");
  if (!result) return std::nullopt;
  nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
  if (!answer.is_object() || !answer.contains("kv_transfer_params")) {
    return std::nullopt;
  }
  return answer["kv_transfer_params"];
}

// One streamed request. Returns whether its answer was whole.
bool StreamOnce(const LoadBenchOptions& options, uint64_t number,
                Samples& samples) {
  HostPort target = SplitAddress(options.target);
  httplib::Client client(target.host, target.port);
  client.set_read_timeout(kTimeoutSeconds);
  client.set_tcp_nodelay(true);
  nlohmann::json body = {{"model", options.model},
                         {"prompt", absl::StrCat("load request ", number)},
                         {"max_tokens", options.tokens},
                         {"stream", true}};
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.set_header("Content-Type", "application/json");
  request.set_header("X-Client", absl::StrCat("client-", number % 100));
  request.body = body.dump();
  SseReader events;
  uint32_t tokens = 0;
  bool whole = false;
  absl::Time begin = absl::Now();
  if (!options.prefill_target.empty()) {
    std::optional<nlohmann::json> params = PrefillStraight(options, body);
    if (!params) return false;
    body["kv_transfer_params"] = *std::move(params);
    request.body = body.dump();
  }
  absl::Time first = begin;
  absl::Time last = begin;
  auto on_event = [&](const std::string& data) {
    if (data == "[DONE]") {
      whole = true;
      return;
    }
    // Tokens are words; an event may hold several.
    auto words =
        static_cast<uint32_t>(std::count(data.begin(), data.end(), 'w'));
    if (words == 0 || !absl::StrContains(data, " w")) return;
    last = absl::Now();
    if (tokens == 0) first = last;
    nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    std::string text = event["choices"][0]["text"].get<std::string>();
    tokens += static_cast<uint32_t>(std::count(text.begin(), text.end(), ' '));
  };
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    events.Append({data, size}, on_event);
    return true;
  };
  httplib::Result result = client.send(request);
  bool complete = result && whole && tokens == options.tokens;
  if (!complete) return false;
  samples.Add(absl::ToDoubleMilliseconds(first - begin),
              absl::ToDoubleMilliseconds(last - first) /
                  std::max<uint32_t>(1, options.tokens - 1));
  return true;
}

}  // namespace

int RunLoadBench(const LoadBenchOptions& options) {
  Samples samples;
  std::atomic<uint64_t> next{0};
  std::atomic<uint64_t> whole{0};
  std::vector<std::unique_ptr<Duty>> clients;
  absl::Time begin = absl::Now();
  for (uint32_t it = 0; it < options.streams; ++it) {
    clients.push_back(std::make_unique<Duty>());
    absl::Duration delay = options.spread * it / options.streams;
    clients.back()->Start("client", [&, delay] {
      absl::SleepFor(delay);
      for (uint64_t n = next++; n < options.requests; n = next++) {
        if (StreamOnce(options, n, samples)) ++whole;
      }
    });
  }
  for (auto& it : clients) it->Join();
  double seconds = absl::ToDoubleSeconds(absl::Now() - begin);
  std::printf("%u streams at once, %u requests of %u tokens: %llu whole\n",
              options.streams, options.requests, options.tokens,
              static_cast<unsigned long long>(whole));  // NOLINT
  std::printf("%.1f s, %.1f requests/s, %.0f tokens/s\n", seconds,
              options.requests / seconds,
              static_cast<double>(options.requests) * options.tokens / seconds);
  samples.Print();
  return whole == options.requests ? 0 : 1;
}

}  // namespace chervilwick
