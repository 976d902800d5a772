// Stand-in for a model engine with disaggregated prefill. Its answer to a
// prompt is a fixed function of the prompt's words, so that clients can check
// that an answer is whole and their own.

#ifndef CHERVILWICK_TOOLS_STANDIN_ENGINE_STANDIN_H_
#define CHERVILWICK_TOOLS_STANDIN_ENGINE_STANDIN_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/time/time.h"
#include "chervilwick/support/mutex.h"
#include "pool_server.h"

namespace chervilwick {

struct EngineStandinOptions {
  std::string name;
  std::string address;  // ip:port
  std::string role = "decode";
  std::string model;
  std::string weights;
  absl::Duration prefill_per_token = absl::Microseconds(50);
  absl::Duration per_token = absl::Milliseconds(20);
  absl::Duration load_time = absl::Milliseconds(500);
  absl::Duration kv_life = absl::Milliseconds(800);
  bool checks_fencing = false;
  size_t max_connections = 64;
};

// Word that follows a text whose words hash to `state`; advances the state.
std::string NextWord(uint64_t& state);

class EngineStandin {
 public:
  explicit EngineStandin(EngineStandinOptions options);
  // Returns an error text when the address can't be had.
  std::optional<std::string> Start();
  void Stop() { http_.Stop(); }

 private:
  struct Decoding;

  void Complete(const httplib::Request& req, httplib::Response& res);
  void Prefill(const nlohmann::json& in, httplib::Response& res);
  void Decode(const nlohmann::json& in, httplib::Response& res);
  bool PullKv(const nlohmann::json& params);
  void ServeKv(const httplib::Request& req, httplib::Response& res);
  void UpdateWeights(const httplib::Request& req, httplib::Response& res);
  void LoadAdapter(const httplib::Request& req, httplib::Response& res);
  void ListModels(httplib::Response& res);
  void ShowState(httplib::Response& res);
  bool IsStaleOrder(const httplib::Request& req);
  void ExpireKvLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  double Slowdown();

  const EngineStandinOptions options_;
  PoolServer http_;
  Mutex compute_mutex_;  // one prefill at a time
  Mutex mutex_;
  std::string role_ ABSL_GUARDED_BY(mutex_);
  std::string weights_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> adapters_ ABSL_GUARDED_BY(mutex_);
  std::map<uint64_t, absl::Time> held_kv_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_kv_ ABSL_GUARDED_BY(mutex_) = 1;
  uint64_t highest_fence_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t refused_orders_ ABSL_GUARDED_BY(mutex_) = 0;
  int running_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t prefills_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t decodes_ ABSL_GUARDED_BY(mutex_) = 0;
  double slowdown_ ABSL_GUARDED_BY(mutex_) = 1;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_STANDIN_ENGINE_STANDIN_H_
