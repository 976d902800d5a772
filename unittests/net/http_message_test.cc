// Strict reading of HTTP messages.

#include "chervilwick/net/http_message.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

// Keeps what a reader reports.
struct Recorded {
  std::vector<HttpHead> heads;
  std::string body;
  int ends = 0;

  HttpReader::Sink Sink() {
    return [this](HttpReadEvent event) {
      std::visit(
          Overloaded{
              [this](HttpHead& it) { heads.push_back(std::move(it)); },
              [this](HttpBodyPart& it) { absl::StrAppend(&body, it.bytes); },
              [this](HttpEnd&) { ++ends; },
          },
          event);
    };
  }
};

HttpReadError ErrorOf(HttpReader::Role role, const std::string& bytes) {
  Recorded seen;
  HttpReader reader(role, 1024, seen.Sink());
  reader.Feed(bytes);
  return reader.error();
}

TEST_CASE("a request is read in any pieces", "[net]") {
  const std::string bytes =
      "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
  for (size_t step = 1; step <= bytes.size(); ++step) {
    Recorded seen;
    HttpReader reader(HttpReader::Role::kRequest, 1024, seen.Sink());
    for (size_t at = 0; at < bytes.size(); at += step) {
      std::string part = bytes.substr(at, step);
      CHECK(reader.Feed(part) == part.size());
    }
    REQUIRE(seen.heads.size() == 1);
    CHECK(seen.heads[0].method == "POST");
    CHECK(seen.heads[0].target == "/a/b?c=1");
    CHECK(seen.heads[0].Get("host") == "h");
    CHECK(seen.body == "hello");
    CHECK(seen.ends == 1);
  }
}

// Two parties could disagree on where such a request ends.
TEST_CASE("ambiguous requests are malformed", "[net]") {
  const std::string line = "POST / HTTP/1.1\r\nHost: h\r\n";
  for (const std::string fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\n", "X-A: 1\r\n folded: 2\r\n",
        "Content-Length : 3\r\n", "X-A\r\n", ": empty\r\n",
        "X-A: 1\nContent-Length: 3\r\n", "X-A: a\rb\r\n"}) {
    INFO(fields);
    CHECK(ErrorOf(HttpReader::Role::kRequest, line + fields + "\r\nabc") ==
          HttpReadError::kMalformed);
  }
}

TEST_CASE("a head over the limit breaks the connection", "[net]") {
  CHECK(ErrorOf(HttpReader::Role::kRequest,
                "GET / HTTP/1.1\r\nX: " + std::string(2000, 'a')) ==
        HttpReadError::kHeadTooLarge);
}

TEST_CASE("bytes after a message are not taken", "[net]") {
  Recorded seen;
  HttpReader reader(HttpReader::Role::kResponse, 1024, seen.Sink());
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  CHECK(reader.Feed(answer + "HTTP/1.1 200 OK\r\n") == answer.size());
  CHECK(reader.IsDone());
  CHECK(seen.body == "ok");
}

TEST_CASE("chunks are read, and a bad chunk is malformed", "[net]") {
  Recorded seen;
  HttpReader reader(HttpReader::Role::kResponse, 1024, seen.Sink());
  reader.Feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n");
  CHECK(reader.IsDone());
  CHECK(seen.body == "abc");
  CHECK(
      ErrorOf(HttpReader::Role::kResponse,
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n") ==
      HttpReadError::kMalformed);
}

TEST_CASE("an answer without a length is whole only after an orderly end",
          "[net]") {
  Recorded seen;
  HttpReader reader(HttpReader::Role::kResponse, 1024, seen.Sink());
  reader.Feed("HTTP/1.1 200 OK\r\n\r\nbytes");
  CHECK_FALSE(reader.IsDone());
  CHECK(seen.heads.at(0).ends_with_connection);
  reader.FeedEnd();
  CHECK(reader.IsDone());
  CHECK(seen.ends == 1);
}

TEST_CASE("an answer that ends early is truncated", "[net]") {
  Recorded seen;
  HttpReader reader(HttpReader::Role::kResponse, 1024, seen.Sink());
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  reader.FeedEnd();
  CHECK_FALSE(reader.IsDone());
  CHECK(reader.error() == HttpReadError::kTruncated);
  CHECK(seen.ends == 0);
}

TEST_CASE("interim answers are skipped", "[net]") {
  Recorded seen;
  HttpReader reader(HttpReader::Role::kResponse, 1024, seen.Sink());
  reader.Feed(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 204 No Content\r\n\r\n");
  REQUIRE(seen.heads.size() == 1);
  CHECK(seen.heads[0].status == 204);
  CHECK(reader.IsDone());
}

TEST_CASE("any bytes end in a message, an error or a wait", "[net]") {
  rc::prop("no crash, no more taken than given", [](const std::string& bytes) {
    Recorded seen;
    HttpReader reader(HttpReader::Role::kRequest, 256, seen.Sink());
    RC_ASSERT(reader.Feed("GET / HTTP/1.1\r\n" + bytes) <= bytes.size() + 16);
    RC_ASSERT(seen.ends <= 1);
  });
}

}  // namespace
}  // namespace chervilwick
