// Properties of what makes two requests, or two parts of prompts, the same: see
// docs/design/identity.md.

#include "chervilwick/front/request_identity.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "platform/protocol.h"

namespace chervilwick {
namespace {

std::string Word() {
  return *rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
}

// What a request asks for.
struct Work {
  std::string method = *rc::gen::element<std::string>("GET", "POST", "PUT");
  std::string host = Word();
  std::string target = "/" + Word() + "/" + Word() + "?page=" + Word();
  std::string body = method == "GET" ? "" : Word();
};

// A client's attempt: everything that is not the work is drawn anew.
HttpRequest Attempt(const Work& work) {
  HttpRequest request;
  request.head.method = work.method;
  request.head.target = work.target;
  request.body = work.body;
  std::string host =
      *rc::gen::element(work.host, absl::AsciiStrToUpper(work.host),
                        work.host + ":80", work.host + ":8080");
  request.head.fields = {
      {"Host", host},
      {"X-Request-Id", Word()},
      {"X-Deadline-Ms", absl::StrCat(*rc::gen::inRange(1, 20000))},
      {"X-Token-Count", absl::StrCat(*rc::gen::inRange(1, 9000), ",80")},
      {"User-Agent", Word()},
      {"Last-Event-Id", absl::StrCat(*rc::gen::inRange(0, 99))}};
  if (*rc::gen::arbitrary<bool>()) {
    request.head.fields.push_back({"Transfer-Encoding", "chunked"});
  } else {
    request.head.fields.push_back(
        {"Content-Length", absl::StrCat(work.body.size())});
  }
  if (*rc::gen::arbitrary<bool>()) {
    request.head.fields.push_back({"Connection", "close"});
  }
  std::reverse(request.head.fields.begin() + *rc::gen::inRange(0, 6),
               request.head.fields.end());
  return request;
}

TEST_CASE("attempts at one work have one fingerprint, whatever else differs",
          "[front][identity]") {
  rc::prop("equal work, equal fingerprint", [] {
    Work work;
    RC_ASSERT(WorkFingerprint(Attempt(work)) == WorkFingerprint(Attempt(work)));
  });
}

TEST_CASE("requests for unlike work have unlike fingerprints",
          "[front][identity]") {
  rc::prop("one input changed", [] {
    Work work;
    Work other = work;
    std::string* changed = *rc::gen::element(&other.method, &other.host,
                                             &other.target, &other.body);
    changed->append("x");
    RC_ASSERT(WorkFingerprint(Attempt(work)) !=
              WorkFingerprint(Attempt(other)));
  });
  rc::prop("bytes moved from the target to the body", [] {
    Work work;
    work.method = "POST";
    Work other = work;
    other.body = work.target.back() + work.body;
    other.target.pop_back();
    RC_ASSERT(WorkFingerprint(Attempt(work)) !=
              WorkFingerprint(Attempt(other)));
  });
}

TEST_CASE("a part of a prompt has one fingerprint in every prompt",
          "[front][identity]") {
  rc::prop("other parts, place, tokens and spelling differ", [] {
    std::string part = absl::StrCat(absl::Hex(*rc::gen::inRange(1, 1 << 30)));
    auto fingerprint_in_prompt = [&] {
      int before = *rc::gen::inRange(0, 4);
      std::string spelled = *rc::gen::element(part, absl::AsciiStrToUpper(part),
                                              " " + part + " ");
      std::string field;
      for (int it = 0; it < before; ++it) {
        absl::StrAppend(&field, "a", it, ":", *rc::gen::inRange(1, 99), ",");
      }
      absl::StrAppend(&field, spelled, ":", *rc::gen::inRange(1, 99), ",ff:1");
      HttpHead head;
      head.fields = {{"X-Prompt-Prefix", field}};
      std::vector<Fingerprint> parts =
          PartFingerprints(PlatformProtocol().ParseRequest(head).shared_parts);
      RC_ASSERT(parts.size() == static_cast<size_t>(before) + 1);
      return parts.back();
    };
    RC_ASSERT(fingerprint_in_prompt() == fingerprint_in_prompt());
    RC_ASSERT(fingerprint_in_prompt() != PartFingerprints({part + "0"})[0]);
  });
}

}  // namespace
}  // namespace chervilwick
