// HTTP/1.1 messages and their strict, incremental reader.

#ifndef CHERVILWICK_NET_HTTP_MESSAGE_H_
#define CHERVILWICK_NET_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "chervilwick/net/chunk_decoder.h"

struct http_parser;

namespace chervilwick {

struct HttpField {
  std::string name;
  std::string value;
};

// Start line and header fields of a request or a response.
struct HttpHead {
  std::string method;  // requests only
  std::string target;  // requests only
  int status = 0;      // responses only
  std::vector<HttpField> fields;
  bool keep_alive = true;             // the sender leaves the connection open
  bool ends_with_connection = false;  // responses without a length

  // First field of that name in any case; null where there is none.
  const std::string* Find(absl::string_view name) const;
  std::string Get(absl::string_view name) const;
};

struct HttpRequest {
  HttpHead head;
  std::string body;
};

struct HttpResponse {
  int status = 0;
  std::vector<HttpField> fields;
  std::string body;
};

// What a reader reports, in this order; a body comes in any number of parts.
struct HttpBodyPart {
  absl::string_view bytes;
};
struct HttpEnd {};
using HttpReadEvent = std::variant<HttpHead, HttpBodyPart, HttpEnd>;

// Why the bytes are not a message.
enum class HttpReadError {
  kNone,
  kMalformed,  // includes ambiguous lengths and folded lines
  kHeadTooLarge,
  kTruncated,  // the connection ended inside the message
};

// Reads one message after the other from a connection's bytes. The head is
// checked as a whole before it is parsed: bare line ends, folded lines and
// ambiguous lengths break the connection, since two parties could disagree on
// where the message ends.
class HttpReader {
 public:
  enum class Role { kRequest, kResponse };
  using Sink = std::function<void(HttpReadEvent)>;

  HttpReader(Role role, size_t max_head_bytes, Sink sink);
  ~HttpReader();

  // Reads bytes; returns how many were taken. Stops after the end of a message:
  // the rest belongs to the next one.
  size_t Feed(absl::string_view bytes);
  // The connection has ended in an orderly way.
  void FeedEnd();
  // Gets ready for the next message.
  void Reset(bool response_to_head = false);
  void SetMaxHeadBytes(size_t bytes) { max_head_bytes_ = bytes; }

  HttpReadError error() const { return error_; }
  bool IsDone() const { return done_; }
  // Whether no byte of the message has come yet.
  bool IsIdle() const { return !head_parsed_ && head_bytes_.empty(); }
  bool IsInHead() const { return !head_parsed_; }
  // Bytes of the head that have come.
  size_t head_size() const { return head_bytes_.size(); }

 private:
  struct Callbacks;

  size_t FeedHead(absl::string_view bytes);
  size_t FeedBody(absl::string_view bytes);
  size_t FeedChunks(absl::string_view bytes);
  void ParseHead();
  void Fail(HttpReadError error) { error_ = error; }
  void FinishHead();
  bool IsInterim() const;
  // Whether the message ends with its head, whatever its fields say.
  bool HasNoBody() const;

  Role role_;
  size_t max_head_bytes_;
  Sink sink_;
  std::unique_ptr<http_parser> parser_;
  std::string head_bytes_;
  HttpHead head_;
  bool response_to_head_ = false;
  bool head_parsed_ = false;
  ChunkDecoder chunks_;
  uint32_t interim_heads_ = 0;  // before this message
  bool done_ = false;
  HttpReadError error_ = HttpReadError::kNone;
};

// Serialized head of a request with the length of its body.
std::string EncodeRequest(const HttpRequest& request);
// Serialized head of a response with the length of its body, and the body that
// follows: empty where the status allows none.
std::string EncodeResponseHead(const HttpResponse& response, bool keep_alive);
absl::string_view EncodedBody(const HttpResponse& response);
// Serialized response with the length of its body.
std::string EncodeResponse(const HttpResponse& response, bool keep_alive);
// Whether a response with that status, which is 200 or above, may have a body.
bool MayHaveBody(int status);
// Serialized head of a response whose body, if it may have one, is sent in
// chunks.
std::string EncodeChunkedHead(int status, const std::vector<HttpField>& fields,
                              bool keep_alive);
std::string EncodeChunk(absl::string_view bytes);
// Whether the field concerns one connection only and is not forwarded.
bool IsHopByHop(absl::string_view name);

}  // namespace chervilwick

#endif  // CHERVILWICK_NET_HTTP_MESSAGE_H_
