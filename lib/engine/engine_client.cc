// HTTP calls to vLLM engines and plain backend servers.

#include "chervilwick/engine/engine_client.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/engine/sse_reader.h"
#include "chervilwick/net/http_syntax.h"
#include "chervilwick/support/host_port.h"
#include "chervilwick/support/overloaded.h"
#include "chervilwick/wire/codec.h"

namespace chervilwick {

// Lets a canceller stop `client` for the duration of a call.
class EngineCallScope {
 public:
  EngineCallScope(CallCanceller& canceller, httplib::Client& client)
      : canceller_(canceller) {
    MutexLock lock(&canceller_.mutex_);
    canceller_.stop_ = [&client] { client.stop(); };
  }
  ~EngineCallScope() {
    MutexLock lock(&canceller_.mutex_);
    canceller_.stop_ = nullptr;
  }
  EngineCallScope(const EngineCallScope&) = delete;
  EngineCallScope& operator=(const EngineCallScope&) = delete;

 private:
  CallCanceller& canceller_;
};

void CallCanceller::Cancel() {
  cancelled_ = true;
  MutexLock lock(&mutex_);
  if (stop_) stop_();
}

namespace {

using nlohmann::json;

constexpr int kConnectTimeoutSeconds = 1;
constexpr int kProbeTimeoutSeconds = 1;
constexpr int kOrderTimeoutSeconds = 120;
constexpr int kHttpOk = 200;
constexpr int kHttpNoContent = 204;
constexpr int kHttpNotModified = 304;
constexpr uint32_t kMsPerSecond = 1000;
constexpr uint32_t kUsPerMs = 1000;
// The agent cancels calls at their deadline. The read timeout is longer by this
// much and only bounds the wait of calls that are not cancelled.
constexpr uint32_t kDeadlineSlackMs = 2000;
// Deepest nesting that is kept of an engine's JSON. Encoding is recursive.
constexpr int kMaxDepth = 64;

// Memory for the body of an answer that is not a stream, which has to fit into
// a frame, and for all those that are being read. An engine may send bytes
// without end.
constexpr size_t kMaxAnswerBytes = kMaxFrameBytes;
constexpr size_t kMaxHeldBytes = 4 * kMaxAnswerBytes;

// Counts the bytes of one answer with those of all calls of the process.
class HeldBytes {
 public:
  HeldBytes() = default;
  ~HeldBytes() { Total() -= bytes_; }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  // Returns whether the answer may take that many.
  bool Set(size_t bytes) {
    Total() += bytes - bytes_;
    bytes_ = bytes;
    return Total() <= kMaxHeldBytes && bytes_ <= kMaxAnswerBytes;
  }

 private:
  static std::atomic<size_t>& Total() {
    static std::atomic<size_t> total{0};
    return total;
  }

  size_t bytes_ = 0;
};

// Whether the head of a final answer follows the grammar as far as httplib
// shows it: it accepts any three digits and any name, and takes interim heads
// other than 100 for final ones. Values are not checked, as it decodes "%01" in
// them.
bool IsAnswer(const httplib::Response& response) {
  bool is_valid_line =
      response.status >= kHttpOk &&
      IsStatusLine(absl::StrCat(response.version, " ", response.status, " ",
                                response.reason));
  return is_valid_line &&
         std::all_of(response.headers.begin(), response.headers.end(),
                     [](const auto& it) {
                       return ParseFieldLine(it.first + ":").has_value();
                     });
}

// Sends a request. An answer that is malformed, or whose body is too long, ends
// the call with an error.
httplib::Result Send(httplib::Client& client, httplib::Request request) {
  absl::Cord body;  // grows without being copied
  HeldBytes held;
  request.content_receiver = [&](const char* data, size_t size,
                                 uint64_t /*offset*/, uint64_t /*total*/) {
    body.Append(absl::string_view(data, size));
    return held.Set(body.size());
  };
  httplib::Result result = client.send(request);
  if (result && !IsAnswer(*result)) {
    return httplib::Result(nullptr, httplib::Error::Read);
  }
  if (result) absl::CopyCordToString(body, &result->body);
  return result;
}

httplib::Result Get(httplib::Client& client, const char* path) {
  httplib::Request request;
  request.method = "GET";
  request.path = path;
  return Send(client, std::move(request));
}

// JSON from an engine; what is nested deeper is left out.
json ParseOutside(std::string_view text) {
  auto keep = [](int depth, json::parse_event_t event, const json& /*value*/) {
    bool begins = event == json::parse_event_t::object_start ||
                  event == json::parse_event_t::array_start;
    return !begins || depth < kMaxDepth;
  };
  return json::parse(text, keep, /*allow_exceptions=*/false);
}

// The functions below read a member of a value of any type; a missing one, or
// one of another type, counts as empty.
json Member(const json& value, const char* name) {
  auto it = value.find(name);
  return it == value.end() ? json() : *it;
}

std::string TextMember(const json& value, const char* name) {
  auto it = value.find(name);
  return it != value.end() && it->is_string() ? it->get<std::string>() : "";
}

uint32_t CountMember(const json& value, const char* name) {
  auto it = value.find(name);
  if (it == value.end() || !it->is_number_unsigned()) return 0;
  return static_cast<uint32_t>(std::min<uint64_t>(
      it->get<uint64_t>(), std::numeric_limits<uint32_t>::max()));
}

// Whether the body of the response to a request other than HEAD ends with its
// connection, as it has neither a length nor chunks.
bool EndsWithConnection(const httplib::Response& response) {
  bool has_no_body =
      response.status == kHttpNoContent || response.status == kHttpNotModified;
  return !has_no_body && !response.has_header("Content-Length") &&
         !response.has_header("Transfer-Encoding");
}

std::unique_ptr<httplib::Client> Connect(const std::string& address,
                                         uint32_t timeout_ms) {
  HostPort target = SplitAddress(address);
  auto client = std::make_unique<httplib::Client>(target.host, target.port);
  client->set_connection_timeout(kConnectTimeoutSeconds);
  client->set_read_timeout(timeout_ms / kMsPerSecond,
                           time_t{timeout_ms % kMsPerSecond} * kUsPerMs);
  client->set_tcp_nodelay(true);
  return client;
}

// Distinguishes a crashed engine from a single failed call. A read timeout or
// too long an answer counts as alive because the connection was accepted.
bool AcceptsConnections(const std::string& address) {
  HostPort target = SplitAddress(address);
  httplib::Client client(target.host, target.port);
  client.set_connection_timeout(kProbeTimeoutSeconds);
  client.set_read_timeout(kProbeTimeoutSeconds);
  httplib::Result result = Get(client, "/health");
  return result || result.error() == httplib::Error::Read ||
         result.error() == httplib::Error::Canceled;
}

WorkStatus StatusForError(const std::string& address, httplib::Error error,
                          const CallCanceller& canceller) {
  if (canceller.IsCancelled()) return WorkStatus::kCancelled;
  bool not_sent = error == httplib::Error::Connection ||
                  error == httplib::Error::ConnectionTimeout;
  if (not_sent) return WorkStatus::kNotSent;
  return AcceptsConnections(address) ? WorkStatus::kEngineFailed
                                     : WorkStatus::kEngineCrashed;
}

httplib::Request MakeRequest(const StartWork& start, std::string path,
                             const json& body) {
  httplib::Request request;
  request.method = "POST";
  request.path = std::move(path);
  request.set_header("Content-Type", "application/json");
  request.set_header("traceparent", start.trace);
  request.set_header("X-Request-Id",
                     absl::StrCat(absl::Hex(start.attempt.entry.value()), "-",
                                  start.attempt.sequence));
  request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

json MakeBody(const StartWork& start) {
  return {{"model", start.model},
          {"prompt", start.prompt},
          {"priority", static_cast<int>(start.priority)}};
}

EngineFinished Prefill(const VllmEngine& engine, const StartWork& start,
                       CallCanceller& canceller) {
  json body = MakeBody(start);
  body["max_tokens"] = 1;
  body["stream"] = false;
  body["kv_transfer_params"] = {{"do_remote_decode", true},
                                {"do_remote_prefill", false}};
  auto client = Connect(engine.address, start.deadline_ms + kDeadlineSlackMs);
  EngineFinished finished;
  finished.attempt = start.attempt;
  EngineCallScope scope(canceller, *client);
  httplib::Result result =
      Send(*client, MakeRequest(start, "/v1/completions", body));
  if (!result) {
    finished.status = StatusForError(engine.address, result.error(), canceller);
    return finished;
  }
  json answer = ParseOutside(result->body);
  bool is_valid = result->status == kHttpOk && answer.is_object() &&
                  answer.contains("kv_transfer_params");
  if (!is_valid) {
    finished.status = WorkStatus::kEngineFailed;
    return finished;
  }
  finished.kv_params = answer["kv_transfer_params"].dump();
  json usage = Member(answer, "usage");
  json details = Member(usage, "prompt_tokens_details");
  finished.prefix_hit_tokens = CountMember(details, "cached_tokens");
  return finished;
}

EngineFinished Decode(const VllmEngine& engine, const StartWork& start,
                      CallCanceller& canceller, const TokenHandler& on_tokens) {
  json body = MakeBody(start);
  body["max_tokens"] = start.output_tokens;
  body["stream"] = true;
  body["kv_transfer_params"] = ParseOutside(start.kv_params);
  EngineFinished finished;
  finished.attempt = start.attempt;
  SseReader events;
  bool completed = false;
  auto on_event = [&](const std::string& data) {
    if (data == "[DONE]") {
      completed = true;
      return;
    }
    json choices = Member(ParseOutside(data), "choices");
    if (!choices.is_array() || choices.empty()) return;
    std::string text = TextMember(choices[0], "text");
    if (!text.empty()) on_tokens({text});
    std::string reason = TextMember(choices[0], "finish_reason");
    if (!reason.empty()) finished.finish_reason = reason;
  };
  httplib::Request request = MakeRequest(start, "/v1/completions", body);
  int http_status = 0;
  request.response_handler = [&](const httplib::Response& response) {
    http_status = response.status;
    return http_status == kHttpOk && IsAnswer(response);
  };
  request.content_receiver = [&](const char* data, size_t size,
                                 uint64_t /*offset*/, uint64_t /*total*/) {
    events.Append({data, size}, on_event);
    return !canceller.IsCancelled() && !events.HasFailed();
  };
  auto client = Connect(engine.address, start.deadline_ms + kDeadlineSlackMs);
  EngineCallScope scope(canceller, *client);
  httplib::Result result = client->send(request);
  bool is_http_error = http_status != 0 && http_status != kHttpOk;
  if (completed) {
    finished.status = WorkStatus::kOk;
  } else if (is_http_error || events.HasFailed()) {
    finished.status = WorkStatus::kEngineFailed;
  } else if (result) {
    // The stream ended without the final [DONE] event.
    finished.status =
        StatusForError(engine.address, httplib::Error::Read, canceller);
  } else {
    finished.status = StatusForError(engine.address, result.error(), canceller);
  }
  return finished;
}

EngineFinished CallPlain(const std::string& address, const StartWork& start,
                         CallCanceller& canceller) {
  EngineFinished finished;
  finished.attempt = start.attempt;
  httplib::Request request;
  request.method = start.method;
  request.path = start.path;
  request.body = start.prompt;
  if (!start.content_type.empty()) {
    request.set_header("Content-Type", start.content_type);
  }
  request.set_header("traceparent", start.trace);
  auto client = Connect(address, start.deadline_ms + kDeadlineSlackMs);
  EngineCallScope scope(canceller, *client);
  httplib::Result result = Send(*client, std::move(request));
  if (!result) {
    finished.status = StatusForError(address, result.error(), canceller);
    return finished;
  }
  // The kernel closes the connections of a process that has ended in an orderly
  // way, too.
  if (start.method != "HEAD" && EndsWithConnection(*result) &&
      !AcceptsConnections(address)) {
    finished.status = WorkStatus::kEngineCrashed;
    return finished;
  }
  finished.http_status = static_cast<uint32_t>(result->status);
  finished.content_type = result->get_header_value("Content-Type");
  finished.body = result->body;
  return finished;
}

EngineFinished RunVllm(const VllmEngine& engine, const StartWork& start,
                       CallCanceller& canceller,
                       const TokenHandler& on_tokens) {
  switch (start.kind) {
    case WorkKind::kPrefill:
      return Prefill(engine, start, canceller);
    case WorkKind::kDecode:
      return Decode(engine, start, canceller, on_tokens);
    case WorkKind::kPlain:
      return CallPlain(engine.address, start, canceller);
  }
  return {};
}

const char* RoleName(PoolRole role) {
  switch (role) {
    case PoolRole::kPrefill:
      return "prefill";
    case PoolRole::kDecode:
      return "decode";
    case PoolRole::kPlain:
      return "plain";
  }
  return "plain";
}

PoolRole RoleByName(const std::string& name) {
  if (name == "prefill") return PoolRole::kPrefill;
  if (name == "decode") return PoolRole::kDecode;
  return PoolRole::kPlain;
}

EngineStatus ReadVllmStatus(const VllmEngine& engine) {
  EngineStatus status;
  auto client = Connect(engine.address, kProbeTimeoutSeconds * kMsPerSecond);
  httplib::Result result = Get(*client, "/v1/models");
  if (!result || result->status != kHttpOk) return status;
  json answer = ParseOutside(result->body);
  if (!answer.is_object() || !answer.contains("data")) return status;
  status.up = true;
  for (const json& it : answer["data"]) {
    if (!it.is_object()) continue;
    bool is_adapter = it.contains("parent") && it["parent"].is_string();
    if (is_adapter) {
      status.adapters.push_back(TextMember(it, "id"));
    } else {
      status.weights = TextMember(it, "root");
      status.role = RoleByName(TextMember(it, "role"));
    }
  }
  return status;
}

bool PostOrder(const VllmEngine& engine, const std::string& path,
               const json& body, uint64_t fence) {
  auto client = Connect(engine.address, kOrderTimeoutSeconds * kMsPerSecond);
  httplib::Request request;
  request.method = "POST";
  request.path = path;
  request.body = body.dump();
  request.set_header("Content-Type", "application/json");
  // Engines that check fencing reject a number below the highest they have
  // seen.
  if (engine.checks_fencing) {
    request.set_header("X-Fencing-Number", absl::StrCat(fence));
  }
  httplib::Result result = Send(*client, std::move(request));
  return result && result->status == kHttpOk;
}

bool SendVllmOrder(const VllmEngine& engine, const EngineOrder& order) {
  bool loaded = PostOrder(engine, "/update_weights",
                          {{"model", order.model},
                           {"weights", order.weights},
                           {"role", RoleName(order.role)}},
                          order.fence);
  if (!loaded) return false;
  bool all_loaded = true;
  for (const std::string& it : order.adapters) {
    all_loaded &=
        PostOrder(engine, "/v1/load_lora_adapter",
                  {{"lora_name", it}, {"lora_path", it}}, order.fence);
  }
  return all_loaded;
}

}  // namespace

EngineFinished RunOnEngine(const Engine& engine, const StartWork& start,
                           CallCanceller& canceller,
                           const TokenHandler& on_tokens) {
  if (canceller.IsCancelled()) {
    EngineFinished finished;
    finished.attempt = start.attempt;
    finished.status = WorkStatus::kCancelled;
    return finished;
  }
  return std::visit(Overloaded{
                        [&](const VllmEngine& it) {
                          return RunVllm(it, start, canceller, on_tokens);
                        },
                        [&](const PlainEngine& it) {
                          return CallPlain(it.address, start, canceller);
                        },
                    },
                    engine);
}

EngineStatus ReadEngineStatus(const Engine& engine) {
  return std::visit(Overloaded{
                        [](const VllmEngine& it) { return ReadVllmStatus(it); },
                        [](const PlainEngine& it) {
                          EngineStatus status;
                          status.up = AcceptsConnections(it.address);
                          return status;
                        },
                    },
                    engine);
}

bool SendOrder(const Engine& engine, const EngineOrder& order) {
  return std::visit(
      Overloaded{
          [&](const VllmEngine& it) { return SendVllmOrder(it, order); },
          [](const PlainEngine&) { return true; },
      },
      engine);
}

}  // namespace chervilwick
