// Stand-in for a model engine.

#include "engine_standin.h"

#include <unistd.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "chervilwick/support/hash.h"
#include "chervilwick/support/host_port.h"

namespace chervilwick {
namespace {

using nlohmann::json;

constexpr char kJson[] = "application/json";
constexpr char kPoison[] = "POISON";
constexpr int kCrashStatus = 70;
constexpr uint64_t kVocabulary = 50000;

size_t CountWords(const std::string& text) {
  std::vector<absl::string_view> words =
      absl::StrSplit(text, ' ', absl::SkipEmpty());
  return words.size();
}

json Chunk(const std::string& text, const json& finish_reason) {
  return {{"object", "text_completion"},
          {"choices", json::array({{{"index", 0},
                                    {"text", text},
                                    {"finish_reason", finish_reason}}})}};
}

}  // namespace

std::string NextWord(uint64_t& state) {
  std::string word = absl::StrFormat("w%d", state % kVocabulary);
  state = HashWords(word, state);
  return word;
}

// One stream that is being decoded.
struct EngineStandin::Decoding {
  EngineStandin* engine = nullptr;
  uint64_t state = 0;
  uint64_t left = 0;
  bool first = true;
  absl::Time next;

  ~Decoding() {
    MutexLock lock(&engine->mutex_);
    --engine->running_;
  }

  bool WriteOne(httplib::DataSink& sink) {
    next = std::max(next + engine->options_.per_token * engine->Slowdown(),
                    absl::Now() - engine->options_.per_token);
    absl::SleepFor(next - absl::Now());
    if (!sink.is_writable()) return false;
    std::string out;
    if (left > 0) {
      --left;
      out = absl::StrCat("data: ", Chunk(" " + NextWord(state), nullptr).dump(),
                         "\n\n");
    }
    if (left == 0) {
      absl::StrAppend(&out, "data: ", Chunk("", "length").dump(),
                      "\n\ndata: [DONE]\n\n");
    }
    if (!sink.write(out.data(), out.size())) return false;
    if (left == 0) sink.done();
    return true;
  }
};

EngineStandin::EngineStandin(EngineStandinOptions options)
    : options_(std::move(options)),
      http_(PoolServerOptions{options_.address, options_.max_connections}),
      role_(options_.role),
      weights_(options_.weights) {
  httplib::Server& server = http_.server();
  server.Post("/v1/completions",
              [this](const httplib::Request& req, httplib::Response& res) {
                Complete(req, res);
              });
  server.Get("/kv/(\\d+)",
             [this](const httplib::Request& req, httplib::Response& res) {
               ServeKv(req, res);
             });
  server.Get("/health", [](const httplib::Request&, httplib::Response& res) {
    res.set_content("ok", "text/plain");
  });
  server.Get("/v1/models", [this](const httplib::Request&,
                                  httplib::Response& res) { ListModels(res); });
  server.Post("/update_weights",
              [this](const httplib::Request& req, httplib::Response& res) {
                UpdateWeights(req, res);
              });
  server.Post("/v1/load_lora_adapter",
              [this](const httplib::Request& req, httplib::Response& res) {
                LoadAdapter(req, res);
              });
  server.Post("/admin/slow",
              [this](const httplib::Request& req, httplib::Response& res) {
                json in = json::parse(req.body, nullptr, false);
                MutexLock lock(&mutex_);
                slowdown_ = in.value("factor", 1.0);
                res.set_content("{}", kJson);
              });
  server.Get("/admin/state",
             [this](const httplib::Request&, httplib::Response& res) {
               ShowState(res);
             });
}

std::optional<std::string> EngineStandin::Start() {
  if (auto problem = http_.Bind()) return problem;
  http_.Start();
  return std::nullopt;
}

double EngineStandin::Slowdown() {
  MutexLock lock(&mutex_);
  return slowdown_;
}

void EngineStandin::ExpireKvLocked() {
  absl::Time now = absl::Now();
  for (auto it = held_kv_.begin(); it != held_kv_.end();) {
    it = now > it->second ? held_kv_.erase(it) : std::next(it);
  }
}

void EngineStandin::Complete(const httplib::Request& req,
                             httplib::Response& res) {
  json in = json::parse(req.body, nullptr, false);
  if (!in.is_object() || !in.contains("prompt")) {
    res.status = 400;
    return;
  }
  if (absl::StrContains(in["prompt"].get<std::string>(), kPoison)) {
    _exit(kCrashStatus);
  }
  json params = in.value("kv_transfer_params", json::object());
  if (params.value("do_remote_decode", false)) {
    Prefill(in, res);
  } else {
    Decode(in, res);
  }
}

void EngineStandin::Prefill(const json& in, httplib::Response& res) {
  size_t tokens = CountWords(in["prompt"].get<std::string>());
  {
    MutexLock lock(&compute_mutex_);
    absl::SleepFor(options_.prefill_per_token * static_cast<double>(tokens) *
                   Slowdown());
  }
  MutexLock lock(&mutex_);
  ExpireKvLocked();
  ++prefills_;
  uint64_t handle = next_kv_++;
  held_kv_[handle] = absl::Now() + options_.kv_life;
  json out = {
      {"object", "text_completion"},
      {"choices",
       json::array(
           {{{"index", 0}, {"text", " "}, {"finish_reason", "length"}}})},
      {"usage",
       {{"prompt_tokens", tokens},
        {"prompt_tokens_details", {{"cached_tokens", 0}}}}},
      {"kv_transfer_params",
       {{"do_remote_prefill", true},
        {"do_remote_decode", false},
        {"remote_engine_id", options_.name},
        {"remote_block_ids", json::array({handle})},
        {"remote_host", options_.address}}}};
  res.set_content(out.dump(), kJson);
}

void EngineStandin::ServeKv(const httplib::Request& req,
                            httplib::Response& res) {
  uint64_t handle = 0;
  bool parsed = absl::SimpleAtoi(req.matches[1].str(), &handle);
  MutexLock lock(&mutex_);
  ExpireKvLocked();
  bool held = parsed && held_kv_.erase(handle) > 0;
  res.status = held ? 200 : 404;
  res.set_content(held ? "kv" : "expired", "text/plain");
}

bool EngineStandin::PullKv(const json& params) {
  if (!params.contains("remote_host") || !params.contains("remote_block_ids")) {
    return false;
  }
  HostPort remote = SplitAddress(params["remote_host"].get<std::string>());
  httplib::Client client(remote.host, remote.port);
  client.set_tcp_nodelay(true);
  httplib::Result result =
      client.Get(absl::StrCat("/kv/", params["remote_block_ids"][0].dump()));
  return result && result->status == 200;
}

void EngineStandin::Decode(const json& in, httplib::Response& res) {
  json params = in.value("kv_transfer_params", json::object());
  // Without a remote prefill the engine computes the prompt itself.
  if (params.value("do_remote_prefill", false)) {
    if (!PullKv(params)) {
      res.status = 409;
      res.set_content("{\"error\":\"kv cache is gone\"}", kJson);
      return;
    }
  } else {
    MutexLock lock(&compute_mutex_);
    absl::SleepFor(
        options_.prefill_per_token *
        static_cast<double>(CountWords(in["prompt"].get<std::string>())));
  }
  auto decoding = std::make_shared<Decoding>();
  decoding->engine = this;
  decoding->state = HashWords(in["prompt"].get<std::string>());
  decoding->left = in.value("max_tokens", 16U);
  decoding->next = absl::Now();
  {
    MutexLock lock(&mutex_);
    ++running_;
    ++decodes_;
  }
  res.set_chunked_content_provider("text/event-stream",
                                   [decoding](size_t, httplib::DataSink& sink) {
                                     return decoding->WriteOne(sink);
                                   });
}

bool EngineStandin::IsStaleOrder(const httplib::Request& req) {
  uint64_t fence = 0;
  bool fenced =
      absl::SimpleAtoi(req.get_header_value("X-Fencing-Number"), &fence);
  MutexLock lock(&mutex_);
  if (!options_.checks_fencing || !fenced) return false;
  if (fence < highest_fence_) {
    ++refused_orders_;
    return true;
  }
  highest_fence_ = fence;
  return false;
}

void EngineStandin::UpdateWeights(const httplib::Request& req,
                                  httplib::Response& res) {
  json in = json::parse(req.body, nullptr, false);
  if (IsStaleOrder(req) || !in.is_object()) {
    res.status = 409;
    return;
  }
  std::string weights = in.value("weights", "");
  bool loads = false;
  {
    MutexLock lock(&mutex_);
    loads = weights != weights_;
  }
  if (loads) absl::SleepFor(options_.load_time);
  MutexLock lock(&mutex_);
  weights_ = weights;
  role_ = in.value("role", role_);
  res.set_content("{}", kJson);
}

void EngineStandin::LoadAdapter(const httplib::Request& req,
                                httplib::Response& res) {
  json in = json::parse(req.body, nullptr, false);
  if (IsStaleOrder(req) || !in.is_object()) {
    res.status = 409;
    return;
  }
  MutexLock lock(&mutex_);
  adapters_.insert(in.value("lora_name", ""));
  res.set_content("{}", kJson);
}

void EngineStandin::ListModels(httplib::Response& res) {
  MutexLock lock(&mutex_);
  json data = json::array({{{"id", options_.model},
                            {"root", weights_},
                            {"role", role_},
                            {"parent", nullptr}}});
  for (const std::string& it : adapters_) {
    data.push_back({{"id", it}, {"root", it}, {"parent", options_.model}});
  }
  json out = {{"object", "list"}, {"data", std::move(data)}};
  res.set_content(out.dump(), kJson);
}

void EngineStandin::ShowState(httplib::Response& res) {
  MutexLock lock(&mutex_);
  ExpireKvLocked();
  json out = {
      {"name", options_.name},      {"role", role_},
      {"weights", weights_},        {"running", running_},
      {"held_kv", held_kv_.size()}, {"prefills", prefills_},
      {"decodes", decodes_},        {"refused_orders", refused_orders_}};
  res.set_content(out.dump(), kJson);
}

}  // namespace chervilwick
