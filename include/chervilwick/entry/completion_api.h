// JSON requests and responses of the OpenAI-compatible completions API.

#ifndef CHERVILWICK_ENTRY_COMPLETION_API_H_
#define CHERVILWICK_ENTRY_COMPLETION_API_H_

#include <cstdint>
#include <optional>
#include <string>

#include "chervilwick/entry/entry_types.h"

namespace chervilwick {

enum class CompletionKind { kText, kChat };

// A parsed completion request.
struct CompletionRequest {
  CompletionKind kind = CompletionKind::kText;
  std::string model;
  std::string prompt;  // chat messages are concatenated
  uint32_t max_tokens = 0;
  bool stream = false;
};

struct CompletionError {
  std::string message;
};

std::optional<CompletionRequest> ParseCompletion(CompletionKind kind,
                                                 const std::string& body,
                                                 CompletionError& error);

// Estimates the token count from the length of `text`; at least 1.
uint32_t EstimateTokens(const std::string& text);

// Server-sent event that carries the next part of the output.
std::string CompletionChunk(CompletionKind kind, const std::string& id,
                            const std::string& model, const std::string& text);
// Server-sent event with the finish reason, followed by the [DONE] event.
std::string CompletionEnd(CompletionKind kind, const std::string& id,
                          const std::string& model,
                          const std::string& finish_reason);
// Response body of a request without streaming.
std::string CompletionBody(CompletionKind kind, const std::string& id,
                           const std::string& model, const std::string& text,
                           const std::string& finish_reason,
                           uint32_t prompt_tokens, uint32_t output_tokens);
// Body of an error response.
std::string ErrorBody(const RequestOutcome& outcome, const std::string& id);

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_COMPLETION_API_H_
