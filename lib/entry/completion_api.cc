// JSON parsing and serialization for the completions API.

#include "chervilwick/entry/completion_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace chervilwick {
namespace {

using nlohmann::json;

constexpr uint32_t kDefaultMaxTokens = 256;
constexpr uint32_t kBytesPerToken = 4;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::string> ReadMessages(const json& in) {
  auto messages = in.find("messages");
  if (messages == in.end() || !messages->is_array() || messages->empty()) {
    return std::nullopt;
  }
  std::string prompt;
  for (const json& it : *messages) {
    bool valid = it.is_object() && it.contains("role") &&
                 it["role"].is_string() && it.contains("content") &&
                 it["content"].is_string();
    if (!valid) return std::nullopt;
    absl::StrAppend(&prompt, prompt.empty() ? "" : " ",
                    it["role"].get<std::string>(), ": ",
                    it["content"].get<std::string>());
  }
  return prompt;
}

bool ReadMaxTokens(const json& in, uint32_t& value) {
  value = kDefaultMaxTokens;
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    auto it = in.find(name);
    if (it == in.end() || it->is_null()) continue;
    if (!it->is_number_unsigned() || it->get<uint64_t>() > UINT32_MAX) {
      return false;
    }
    value = it->get<uint32_t>();
  }
  return true;
}

json ChunkBase(CompletionKind kind, const std::string& id,
               const std::string& model) {
  bool chat = kind == CompletionKind::kChat;
  return {{"id", id},
          {"object", chat ? "chat.completion.chunk" : "text_completion"},
          {"model", model}};
}

}  // namespace

std::optional<CompletionRequest> ParseCompletion(CompletionKind kind,
                                                 const std::string& body,
                                                 CompletionError& error) {
  json in = json::parse(body, nullptr, false);
  if (!in.is_object()) {
    error.message = "the body is not a JSON object";
    return std::nullopt;
  }
  CompletionRequest request;
  request.kind = kind;
  auto model = in.find("model");
  if (model == in.end() || !model->is_string()) {
    error.message = "model must be a string";
    return std::nullopt;
  }
  request.model = model->get<std::string>();
  if (kind == CompletionKind::kChat) {
    std::optional<std::string> prompt = ReadMessages(in);
    if (!prompt) {
      error.message =
          "messages must be a non-empty array of objects with string fields "
          "role "
          "and content";
      return std::nullopt;
    }
    request.prompt = *prompt;
  } else {
    auto prompt = in.find("prompt");
    if (prompt == in.end() || !prompt->is_string()) {
      error.message = "prompt must be a string";
      return std::nullopt;
    }
    request.prompt = prompt->get<std::string>();
  }
  if (!ReadMaxTokens(in, request.max_tokens)) {
    error.message = "max_tokens must be a non-negative 32-bit integer";
    return std::nullopt;
  }
  auto stream = in.find("stream");
  if (stream != in.end() && !stream->is_boolean()) {
    error.message = "stream must be a boolean";
    return std::nullopt;
  }
  request.stream = stream != in.end() && stream->get<bool>();
  return request;
}

uint32_t EstimateTokens(const std::string& text) {
  return std::max<uint32_t>(
      1, static_cast<uint32_t>(text.size() / kBytesPerToken));
}

std::string CompletionChunk(CompletionKind kind, const std::string& id,
                            const std::string& model, const std::string& text) {
  json out = ChunkBase(kind, id, model);
  json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (kind == CompletionKind::kChat) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  out["choices"] = json::array({std::move(choice)});
  return absl::StrCat("data: ", Dump(out), "\n\n");
}

std::string CompletionEnd(CompletionKind kind, const std::string& id,
                          const std::string& model,
                          const std::string& finish_reason) {
  json out = ChunkBase(kind, id, model);
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (kind == CompletionKind::kChat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  out["choices"] = json::array({std::move(choice)});
  return absl::StrCat("data: ", Dump(out), "\n\ndata: [DONE]\n\n");
}

std::string CompletionBody(CompletionKind kind, const std::string& id,
                           const std::string& model, const std::string& text,
                           const std::string& finish_reason,
                           uint32_t prompt_tokens, uint32_t output_tokens) {
  bool chat = kind == CompletionKind::kChat;
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  json out = {{"id", id},
              {"object", chat ? "chat.completion" : "text_completion"},
              {"model", model},
              {"choices", json::array({std::move(choice)})},
              {"usage",
               {{"prompt_tokens", prompt_tokens},
                {"completion_tokens", output_tokens},
                {"total_tokens", prompt_tokens + output_tokens}}}};
  return Dump(out);
}

std::string ErrorBody(const RequestOutcome& outcome, const std::string& id) {
  json error = {{"code", outcome.code},
                {"message", outcome.message},
                {"run", RunStateName(outcome.run)},
                {"request_id", id}};
  if (outcome.retry_after > absl::ZeroDuration()) {
    error["retry_after_ms"] = absl::ToInt64Milliseconds(outcome.retry_after);
  }
  return Dump({{"error", std::move(error)}});
}

}  // namespace chervilwick
