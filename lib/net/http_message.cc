// HTTP/1.1 messages: http-parser parses heads and delimits bodies with a
// length.

#include "chervilwick/net/http_message.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "chervilwick/net/http_syntax.h"

namespace chervilwick {
namespace {

constexpr size_t kKeptHeadBytes = size_t{2} << 10;
constexpr absl::string_view kLineEnd = "\r\n";
constexpr absl::string_view kHeadEnd = "\r\n\r\n";
constexpr absl::string_view kResponseBegin = "HTTP/";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// Interim heads before a response; more are a peer that never ends.
constexpr uint32_t kMaxInterimHeads = 8;

struct LengthFields {
  int lengths = 0;
  int encodings = 0;
};

// Checks one field line and counts those that say where the body ends.
bool IsValidField(absl::string_view line, LengthFields& lengths) {
  std::optional<FieldLine> field = ParseFieldLine(line);
  if (!field) return false;
  if (absl::EqualsIgnoreCase(field->name, "Content-Length")) {
    ++lengths.lengths;
    return !field->value.empty() &&
           std::all_of(field->value.begin(), field->value.end(),
                       absl::ascii_isdigit);
  }
  if (absl::EqualsIgnoreCase(field->name, "Transfer-Encoding")) {
    ++lengths.encodings;
    return absl::EqualsIgnoreCase(field->value, "chunked");
  }
  return true;
}

bool IsValidHead(absl::string_view head, HttpReader::Role role) {
  head.remove_suffix(kHeadEnd.size());
  std::vector<absl::string_view> lines = absl::StrSplit(head, kLineEnd);
  if (role == HttpReader::Role::kResponse && !IsStatusLine(lines[0])) {
    return false;
  }
  LengthFields lengths;
  for (size_t it = 0; it < lines.size(); ++it) {
    bool has_bare_end =
        lines[it].find_first_of("\r\n") != absl::string_view::npos;
    if (has_bare_end) return false;
    if (it > 0 && !IsValidField(lines[it], lengths)) return false;
  }
  return lengths.lengths + lengths.encodings <= 1;
}

std::string FieldLines(const std::vector<HttpField>& fields) {
  std::string out;
  for (const HttpField& it : fields) {
    absl::StrAppend(&out, it.name, ": ", it.value, kLineEnd);
  }
  return out;
}

// RFC 9112, 6.3: these end with their head, whatever its fields say.
bool EndsWithHead(int status) {
  return status < 200 || status == kNoContent || status == kNotModified;
}

bool AnnouncesBody(const http_parser& parser) {
  return (parser.flags & F_CHUNKED) != 0 ||
         (parser.content_length != UINT64_MAX && parser.content_length > 0);
}

// Whether the body has no length and so ends with the connection.
bool NeedsConnectionEnd(const http_parser& parser) {
  return (parser.flags & F_CHUNKED) == 0 && parser.content_length == UINT64_MAX;
}

std::string StatusLine(int status) {
  const char* reason = http_status_str(static_cast<http_status>(status));
  return absl::StrCat("HTTP/1.1 ", status, " ", reason, kLineEnd);
}

}  // namespace

bool MayHaveBody(int status) {
  return status != kNoContent && status != kNotModified;
}

const std::string* HttpHead::Find(absl::string_view name) const {
  for (const HttpField& it : fields) {
    if (absl::EqualsIgnoreCase(it.name, name)) return &it.value;
  }
  return nullptr;
}

std::string HttpHead::Get(absl::string_view name) const {
  const std::string* value = Find(name);
  return value == nullptr ? std::string() : *value;
}

// Functions that http-parser calls; a result other than 0 is an error.
struct HttpReader::Callbacks {
  static HttpReader& Self(http_parser* parser) {
    return *static_cast<HttpReader*>(parser->data);
  }
  static int OnTarget(http_parser* parser, const char* at, size_t n) {
    Self(parser).head_.target.append(at, n);
    return 0;
  }
  static int OnName(http_parser* parser, const char* at, size_t n) {
    HttpReader& self = Self(parser);
    if (self.head_parsed_) return 0;
    self.head_.fields.push_back({std::string(at, n), ""});
    return 0;
  }
  static int OnValue(http_parser* parser, const char* at, size_t n) {
    HttpReader& self = Self(parser);
    if (!self.head_parsed_) self.head_.fields.back().value.append(at, n);
    return 0;
  }
  static int OnHeadEnd(http_parser* parser) {
    HttpReader& self = Self(parser);
    self.FinishHead();
    return self.HasNoBody() ? 1 : 0;
  }
  static int OnBody(http_parser* parser, const char* at, size_t n) {
    Self(parser).sink_(HttpBodyPart{absl::string_view(at, n)});
    return 0;
  }
  static int OnEnd(http_parser* parser) {
    HttpReader& self = Self(parser);
    self.done_ = true;
    http_parser_pause(parser, 1);
    return 0;
  }
  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings it;
      http_parser_settings_init(&it);
      it.on_url = &OnTarget;
      it.on_header_field = &OnName;
      it.on_header_value = &OnValue;
      it.on_headers_complete = &OnHeadEnd;
      it.on_body = &OnBody;
      it.on_message_complete = &OnEnd;
      return it;
    }();
    return settings;
  }
};

HttpReader::HttpReader(Role role, size_t max_head_bytes, Sink sink)
    : role_(role),
      max_head_bytes_(max_head_bytes),
      sink_(std::move(sink)),
      parser_(std::make_unique<http_parser>()) {
  Reset();
}

HttpReader::~HttpReader() = default;

void HttpReader::Reset(bool response_to_head) {
  http_parser_init(parser_.get(),
                   role_ == Role::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_->data = this;
  // Idle connections keep no memory for the longest head they had.
  if (head_bytes_.capacity() > kKeptHeadBytes) head_bytes_ = std::string();
  head_bytes_.clear();
  head_ = HttpHead();
  response_to_head_ = response_to_head;
  head_parsed_ = false;
  chunks_.Reset(max_head_bytes_);
  interim_heads_ = 0;
  done_ = false;
  error_ = HttpReadError::kNone;
}

size_t HttpReader::Feed(absl::string_view bytes) {
  size_t taken = 0;
  while (taken < bytes.size() && !done_ && error_ == HttpReadError::kNone) {
    absl::string_view rest = bytes.substr(taken);
    taken += head_parsed_ ? FeedBody(rest) : FeedHead(rest);
  }
  return taken;
}

size_t HttpReader::FeedHead(absl::string_view bytes) {
  size_t taken = 0;
  // RFC 9112, 2.2: empty lines before a request line are ignored.
  while (head_bytes_.empty() && role_ == Role::kRequest &&
         taken < bytes.size() &&
         (bytes[taken] == '\r' || bytes[taken] == '\n')) {
    ++taken;
  }
  size_t before = head_bytes_.size();
  absl::StrAppend(&head_bytes_, bytes.substr(taken));
  // Other bytes, such as a body after an interim head, need not wait for an
  // end.
  if (role_ == Role::kResponse &&
      !absl::StartsWith(kResponseBegin,
                        head_bytes_.substr(0, kResponseBegin.size()))) {
    Fail(HttpReadError::kMalformed);
    return bytes.size();
  }
  size_t search = before < kHeadEnd.size() ? 0 : before - kHeadEnd.size();
  size_t end = head_bytes_.find(kHeadEnd.data(), search);
  size_t size =
      end == std::string::npos ? head_bytes_.size() : end + kHeadEnd.size();
  if (size > max_head_bytes_) {
    Fail(HttpReadError::kHeadTooLarge);
    return bytes.size();
  }
  if (end == std::string::npos) return bytes.size();
  head_bytes_.resize(size);
  taken += size - before;
  ParseHead();
  return taken;
}

void HttpReader::ParseHead() {
  if (!IsValidHead(head_bytes_, role_)) {
    Fail(HttpReadError::kMalformed);
    return;
  }
  size_t n = http_parser_execute(parser_.get(), &Callbacks::Settings(),
                                 head_bytes_.data(), head_bytes_.size());
  if (n != head_bytes_.size() || !head_parsed_) {
    Fail(HttpReadError::kMalformed);
    return;
  }
  if (done_ && IsInterim()) {
    uint32_t interim_heads = interim_heads_ + 1;
    if (interim_heads > kMaxInterimHeads) {
      Fail(HttpReadError::kMalformed);
      return;
    }
    Reset(response_to_head_);
    interim_heads_ = interim_heads;
    return;
  }
  if (done_) sink_(HttpEnd{});
}

bool HttpReader::IsInterim() const {
  return role_ == Role::kResponse && parser_->status_code < 200;
}

bool HttpReader::HasNoBody() const {
  return role_ == Role::kResponse &&
         (response_to_head_ ||
          EndsWithHead(static_cast<int>(parser_->status_code)));
}

void HttpReader::FinishHead() {
  head_parsed_ = true;
  head_.keep_alive = http_should_keep_alive(parser_.get()) != 0;
  if (role_ == Role::kRequest) {
    head_.method = http_method_str(static_cast<http_method>(parser_->method));
  } else {
    head_.status = static_cast<int>(parser_->status_code);
    head_.ends_with_connection = !HasNoBody() && NeedsConnectionEnd(*parser_);
    // A body that may not follow would be read as the next answer.
    if (parser_->status_code == kNoContent && AnnouncesBody(*parser_)) {
      head_.keep_alive = false;
    }
  }
  if (!IsInterim()) sink_(std::move(head_));
}

size_t HttpReader::FeedBody(absl::string_view bytes) {
  if ((parser_->flags & F_CHUNKED) != 0) return FeedChunks(bytes);
  size_t n = http_parser_execute(parser_.get(), &Callbacks::Settings(),
                                 bytes.data(), bytes.size());
  auto error = HTTP_PARSER_ERRNO(parser_.get());
  if (error != HPE_OK && error != HPE_PAUSED) {
    Fail(HttpReadError::kMalformed);
    return bytes.size();
  }
  if (done_) sink_(HttpEnd{});
  return n;
}

size_t HttpReader::FeedChunks(absl::string_view bytes) {
  size_t n = chunks_.Feed(
      bytes, [this](absl::string_view part) { sink_(HttpBodyPart{part}); });
  if (chunks_.HasFailed()) {
    Fail(HttpReadError::kMalformed);
  } else if (chunks_.IsDone()) {
    done_ = true;
    sink_(HttpEnd{});
  }
  return n;
}

void HttpReader::FeedEnd() {
  if (done_ || IsIdle() || error_ != HttpReadError::kNone) return;
  if (head_parsed_) {
    http_parser_execute(parser_.get(), &Callbacks::Settings(), nullptr, 0);
  }
  if (done_) {
    sink_(HttpEnd{});
    return;
  }
  Fail(HttpReadError::kTruncated);
}

std::string EncodeRequest(const HttpRequest& request) {
  std::string out =
      absl::StrCat(request.head.method, " ", request.head.target,
                   " HTTP/1.1\r\n", FieldLines(request.head.fields));
  if (!request.body.empty() || request.head.method == "POST" ||
      request.head.method == "PUT") {
    absl::StrAppend(&out, "Content-Length: ", request.body.size(), kLineEnd);
  }
  absl::StrAppend(&out, kLineEnd, request.body);
  return out;
}

std::string EncodeResponseHead(const HttpResponse& response, bool keep_alive) {
  std::string out =
      absl::StrCat(StatusLine(response.status), FieldLines(response.fields));
  if (MayHaveBody(response.status)) {
    absl::StrAppend(&out, "Content-Length: ", response.body.size(), kLineEnd);
  }
  if (!keep_alive) absl::StrAppend(&out, "Connection: close\r\n");
  absl::StrAppend(&out, kLineEnd);
  return out;
}

absl::string_view EncodedBody(const HttpResponse& response) {
  if (!MayHaveBody(response.status)) return "";
  return response.body;
}

std::string EncodeResponse(const HttpResponse& response, bool keep_alive) {
  return absl::StrCat(EncodeResponseHead(response, keep_alive),
                      EncodedBody(response));
}

std::string EncodeChunkedHead(int status, const std::vector<HttpField>& fields,
                              bool keep_alive) {
  return absl::StrCat(
      StatusLine(status), FieldLines(fields),
      MayHaveBody(status) ? "Transfer-Encoding: chunked\r\n" : "",
      keep_alive ? "" : "Connection: close\r\n", kLineEnd);
}

std::string EncodeChunk(absl::string_view bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), kLineEnd, bytes, kLineEnd);
}

bool IsHopByHop(absl::string_view name) {
  static constexpr std::array<absl::string_view, 11> names = {
      "Connection",
      "Keep-Alive",
      "Proxy-Connection",
      "Transfer-Encoding",
      "Content-Length",
      "TE",
      "Trailer",
      "Upgrade",
      "Proxy-Authenticate",
      "Proxy-Authorization",
      "Expect"};
  return std::any_of(names.begin(), names.end(), [&](absl::string_view it) {
    return absl::EqualsIgnoreCase(it, name);
  });
}

}  // namespace chervilwick
