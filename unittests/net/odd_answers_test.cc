// Answers that are malformed, and unusual ones that are not.

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/net/http_message.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

constexpr char kFramed[] = "Content-Length: 2\r\n\r\nok";
constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr size_t kMaxHeadBytes = 4096;

// What a reader makes of some bytes and the end of the connection.
struct Read {
  int heads = 0;
  HttpHead head;
  std::string body;
  int ends = 0;
  bool is_done = false;  // before the connection ended
  HttpReadError error = HttpReadError::kNone;
  size_t taken = 0;
};

// `step`: bytes that are fed at once.
Read ReadAnswer(const std::string& bytes, size_t step,
                bool answers_head_request = false) {
  Read read;
  HttpReader reader(HttpReader::Role::kResponse, kMaxHeadBytes,
                    [&](HttpReadEvent event) {
                      std::visit(Overloaded{
                                     [&](HttpHead& it) {
                                       ++read.heads;
                                       read.head = std::move(it);
                                     },
                                     [&](HttpBodyPart& it) {
                                       absl::StrAppend(&read.body, it.bytes);
                                     },
                                     [&](HttpEnd&) { ++read.ends; },
                                 },
                                 event);
                    });
  reader.Reset(answers_head_request);
  for (size_t at = 0; at < bytes.size() && !reader.IsDone() &&
                      reader.error() == HttpReadError::kNone;
       at += step) {
    read.taken += reader.Feed(absl::string_view(bytes).substr(at, step));
  }
  read.is_done = reader.IsDone();
  reader.FeedEnd();
  read.error = reader.error();
  return read;
}

std::vector<size_t> Steps(const std::string& bytes) {
  return {1, 7, bytes.size()};
}

void CheckMalformed(const std::string& bytes) {
  for (size_t step : Steps(bytes)) {
    INFO(absl::CEscape(bytes) << " in steps of " << step);
    Read read = ReadAnswer(bytes, step);
    CHECK(read.error == HttpReadError::kMalformed);
    CHECK(read.heads == 0);
    CHECK(read.body.empty());
    CHECK(read.ends == 0);
  }
}

// Reads the body "ok".
void CheckWhole(const std::string& bytes, int status) {
  for (size_t step : Steps(bytes)) {
    INFO(absl::CEscape(bytes) << " in steps of " << step);
    Read read = ReadAnswer(bytes, step);
    CHECK(read.heads == 1);
    CHECK(read.head.status == status);
    CHECK(read.body == "ok");
    CHECK(read.is_done);
    CHECK(read.ends == 1);
    CHECK(read.taken == bytes.size());
  }
}

TEST_CASE("answer with a malformed status line is no answer", "[net][odd]") {
  for (const std::string& line :
       std::vector<std::string>{"HTTP/1.1 000 Trouble",
                                "HTTP/1.1 001 Trouble",
                                "HTTP/1.1 099 Trouble",
                                "HTTP/1.1 20 OK",
                                "HTTP/1.1 2 OK",
                                "HTTP/1.1 0 OK",
                                "HTTP/1.1 0200 OK",
                                "HTTP/1.1 2000 OK",
                                "HTTP/1.1 600 Trouble",
                                "HTTP/1.1 999 Trouble",
                                "HTTP/1.1 -20 OK",
                                "HTTP/1.1 +20 OK",
                                "HTTP/1.1 2x0 OK",
                                "HTTP/1.1 200OK",
                                "HTTP/1.1  200 OK",
                                "HTTP/1.1 200\tOK",
                                "HTTP/1.1\t200 OK",
                                "HTTP/1.1 200 O\x01K",
                                "HTTP/1.1 200 O\x7fK",
                                std::string("HTTP/1.1 200 O\0K", 16),
                                "HTTP/1.1 200 O\rK",
                                "HTTP/1.1",
                                "HTTP/1.1 ",
                                "HTTP/1.1 OK",
                                "HTTP/1 200 OK",
                                "HTTP/1.x 200 OK",
                                "HTTP/1.10 200 OK",
                                "HTTP/2.0 200 OK",
                                "HTTP/0.9 200 OK",
                                "http/1.1 200 OK",
                                " HTTP/1.1 200 OK",
                                "\r\nHTTP/1.1 200 OK",
                                "200 OK",
                                ""}) {
    std::string bytes = absl::StrCat(line, "\r\n", kFramed);
    CheckMalformed(bytes);
  }
}

TEST_CASE("answer with an unusual status line is read", "[net][odd]") {
  struct Case {
    std::string line;
    int status;
  };
  for (const Case& it : std::vector<Case>{{"HTTP/1.1 200 OK", 200},
                                          {"HTTP/1.1 200 ", 200},
                                          {"HTTP/1.1 200", 200},
                                          {"HTTP/1.1 200  spaced  ", 200},
                                          {"HTTP/1.1 200 a\tb", 200},
                                          {"HTTP/1.1 200 \xc3\xa9t\xe9", 200},
                                          {"HTTP/1.1 200 404 Not Found", 200},
                                          {"HTTP/1.0 200 OK", 200},
                                          {"HTTP/1.2 200 OK", 200},
                                          {"HTTP/1.1 299 Odd", 299},
                                          {"HTTP/1.1 399 Odd", 399},
                                          {"HTTP/1.1 499 Odd", 499},
                                          {"HTTP/1.1 599 Odd", 599}}) {
    std::string bytes = absl::StrCat(it.line, "\r\n", kFramed);
    CheckWhole(bytes, it.status);
  }
}

TEST_CASE("answer with a malformed field line is no answer", "[net][odd]") {
  for (const std::string& line :
       std::vector<std::string>{"X y: 1",
                                "X\ty: 1",
                                "X : 1",
                                "X\t: 1",
                                " X: 1",
                                "\tX: 1",
                                ": 1",
                                "X",
                                "X\x01: 1",
                                "X\x7f: 1",
                                std::string("X\0: 1", 5),
                                "X\xe9: 1",
                                "X(: 1",
                                "X: a\x01",
                                "X: a\x7f",
                                std::string("X: a\0b", 6),
                                "X: a\x0b",
                                "X: a\x0c",
                                "X:\x0b 1",
                                "X:\x0c 1",
                                "X: a\rb",
                                "X: a\nb"}) {
    std::string bytes =
        absl::StrCat("HTTP/1.1 200 OK\r\n", line, "\r\n", kFramed);
    CheckMalformed(bytes);
  }
}

TEST_CASE("answer with an unusual field line is read", "[net][odd]") {
  for (const char* line : {"!#$%&'*+-.^_`|~09aZ: 1", "X:", "X: ", "X:1",
                           "X: \t 1 \t ", "X: a\tb  c", "X: \xc3\xa9 \xff"}) {
    std::string bytes =
        absl::StrCat("HTTP/1.1 200 OK\r\n", line, "\r\n", kFramed);
    CheckWhole(bytes, 200);
  }
}

// Their bytes would be taken for a body without a head, or be waited for.
TEST_CASE("answer that may not have a body ends with its head", "[net][odd]") {
  for (const char* fields :
       {"", "Content-Length: 0\r\n", "Content-Length: 9\r\n",
        "Transfer-Encoding: chunked\r\n"}) {
    for (int status : {204, 304}) {
      INFO(status << " " << fields);
      std::string head =
          absl::StrCat("HTTP/1.1 ", status, " X\r\n", fields, "\r\n");
      Read read = ReadAnswer(head + "bytes", head.size() + 5);
      CHECK(read.heads == 1);
      CHECK(read.head.status == status);
      CHECK(read.is_done);
      CHECK(read.body.empty());
      CHECK(read.taken == head.size());
      CHECK_FALSE(read.head.ends_with_connection);
    }
    INFO(fields);
    std::string head = absl::StrCat("HTTP/1.1 200 OK\r\n", fields, "\r\n");
    Read read = ReadAnswer(head, head.size(), /*answers_head_request=*/true);
    CHECK(read.is_done);
    CHECK(read.head.status == 200);
  }
}

TEST_CASE("connection is not kept after a 204 that announces a body",
          "[net][odd]") {
  for (const char* fields :
       {"Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n"}) {
    std::string head = absl::StrCat("HTTP/1.1 204 X\r\n", fields, "\r\n");
    CHECK_FALSE(ReadAnswer(head, head.size()).head.keep_alive);
  }
  CHECK(ReadAnswer("HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n", 99)
            .head.keep_alive);
}

TEST_CASE("interim heads before an answer are skipped", "[net][odd]") {
  for (const char* fields : {"", "X: 1\r\n", "Content-Length: 9\r\n",
                             "Transfer-Encoding: chunked\r\n"}) {
    for (int status : {100, 102, 103, 199}) {
      std::string interim =
          absl::StrCat("HTTP/1.1 ", status, " X\r\n", fields, "\r\n");
      std::string bytes =
          absl::StrCat(interim, interim, "HTTP/1.1 200 OK\r\n", kFramed);
      CheckWhole(bytes, 200);
    }
  }
}

TEST_CASE("body after an interim head is no answer", "[net][odd]") {
  for (const char* fields :
       {"", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"}) {
    for (int status : {100, 101, 103, 199}) {
      std::string bytes =
          absl::StrCat("HTTP/1.1 ", status, " X\r\n", fields, "\r\nok");
      CheckMalformed(bytes);
    }
  }
}

// What follows is of another protocol; no request offers one.
TEST_CASE("switch of protocols is no answer", "[net][odd]") {
  for (const char* fields : {"", "Connection: upgrade\r\nUpgrade: x\r\n"}) {
    std::string bytes =
        absl::StrCat("HTTP/1.1 101 Switching Protocols\r\n", fields,
                     "\r\nHTTP/1.1 200 OK\r\n", kFramed);
    CheckMalformed(bytes);
  }
}

TEST_CASE("chunked answer with malformed framing is not whole", "[net][odd]") {
  for (const char* body : {"2\r\nokXX0\r\n\r\n",
                           "2\r\nokX\r\n0\r\n\r\n",
                           "2\r\nok0\r\n\r\n",
                           "2\r\nok\n0\r\n\r\n",
                           "2\rXok\r\n0\r\n\r\n",
                           "2\nok\r\n0\r\n\r\n",
                           "2\r\nok\r\n0\r\n\rX",
                           "2\r\nok\r\n0\n\r\n",
                           "0x2\r\nok\r\n0\r\n\r\n",
                           "+2\r\nok\r\n0\r\n\r\n",
                           " 2\r\nok\r\n0\r\n\r\n",
                           "2 x\r\nok\r\n0\r\n\r\n",
                           "2,\r\nok\r\n0\r\n\r\n",
                           "2;a\x01\r\nok\r\n0\r\n\r\n",
                           "\r\n2\r\nok\r\n0\r\n\r\n",
                           "2\r\nok\r\n\r\n0\r\n\r\n",
                           "g\r\nok\r\n0\r\n\r\n",
                           "10000000000000002\r\nok\r\n0\r\n\r\n",
                           "2\r\nok\r\n0\r\nX y: 1\r\n\r\n",
                           "2\r\nok\r\n0\r\nX : 1\r\n\r\n",
                           "2\r\nok\r\n0\r\nX\r\n\r\n",
                           "2\r\nok\r\n0\r\n: 1\r\n\r\n",
                           "2\r\nok\r\n0\r\nX: \x01\r\n\r\n",
                           "2\r\nok\r\n0\r\nX: a\nY: b\r\n\r\n",
                           "2\r\nok\r\n0\r\nX\x01: 1\r\n\r\n"}) {
    std::string bytes = absl::StrCat(kChunkedHead, body);
    for (size_t step : Steps(bytes)) {
      INFO(absl::CEscape(body) << " in steps of " << step);
      Read read = ReadAnswer(bytes, step);
      CHECK(read.error != HttpReadError::kNone);
      CHECK(read.ends == 0);
      CHECK((read.body.empty() || read.body == "ok"));
    }
  }
}

TEST_CASE("chunked answer with unusual framing is read", "[net][odd]") {
  for (const char* body :
       {"2\r\nok\r\n0\r\n\r\n", "1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        "0002\r\nok\r\n00000\r\n\r\n", "2 \r\nok\r\n0  \r\n\r\n",
        "2;a\r\nok\r\n0;b\r\n\r\n", "2;a=b;c\r\nok\r\n0\r\n\r\n",
        "2 ;\ta = \"b ; c\"\r\nok\r\n0\r\n\r\n",
        "2\t;a=\xc3\xa9\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\r\nX: 1\r\n\r\n",
        "2\r\nok\r\n0\r\nX:\r\nY: \t a\tb \xff\r\n\r\n",
        "2\r\nok\r\n0\r\nContent-Length: 7\r\n\r\n"}) {
    std::string bytes = absl::StrCat(kChunkedHead, body);
    CheckWhole(bytes, 200);
  }
}

TEST_CASE("trailer without end is malformed", "[net][odd]") {
  for (const char* line : {"X: 1\r\n", "x"}) {
    std::string bytes = absl::StrCat(kChunkedHead, "0\r\n");
    while (bytes.size() < 3 * kMaxHeadBytes) absl::StrAppend(&bytes, line);
    for (size_t step : Steps(bytes)) {
      CHECK(ReadAnswer(bytes, step).error == HttpReadError::kMalformed);
    }
  }
}

}  // namespace
}  // namespace chervilwick
