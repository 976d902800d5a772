// Strong types, the bounded ring and hashing.

#include <catch2/catch.hpp>
#include <string>

#include "chervilwick/kernel/duty.h"
#include "chervilwick/support/bounded_ring.h"
#include "chervilwick/support/hash.h"
#include "chervilwick/support/host_port.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/support/utf8.h"

namespace chervilwick {
namespace {

TEST_CASE("strong types compare by value", "[support]") {
  CHECK(VersionNumber(2) > VersionNumber(1));
  CHECK(PoolName("a") == PoolName("a"));
  CHECK(AttemptId{Incarnation(1), 2} < AttemptId{Incarnation(1), 3});
}

TEST_CASE("a full ring refuses and a closed one lets go", "[support]") {
  BoundedRing<int> ring(2);
  CHECK(ring.TryPush(1));
  CHECK(ring.TryPush(2));
  CHECK_FALSE(ring.TryPush(3));
  CHECK(ring.Pop(absl::ZeroDuration()) == 1);
  ring.Close();
  CHECK_FALSE(ring.TryPush(4));
  CHECK(ring.Pop(absl::ZeroDuration()) == 2);
  CHECK_FALSE(ring.Pop(absl::ZeroDuration()).has_value());
}

TEST_CASE("a blocked producer goes on when there is room", "[support]") {
  BoundedRing<int> ring(1);
  REQUIRE(ring.Push(1));
  Duty producer;
  producer.Start("producer", [&] { ring.Push(2); });
  CHECK(ring.Pop(absl::InfiniteDuration()) == 1);
  CHECK(ring.Pop(absl::InfiniteDuration()) == 2);
  producer.Join();
}

TEST_CASE("words hash alike in one piece or several", "[support]") {
  uint64_t whole = HashWords("one two three");
  CHECK(HashWords(" three", HashWords("one  two")) == whole);
  CHECK(HashWords("one twothree") != whole);
}

TEST_CASE("characters of UTF-8 are told from other bytes", "[support]") {
  for (const char* text :
       {"a", "\x7f", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80", "\xed\x9f\xbf",
        "\xee\x80\x80", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf"}) {
    CHECK(Utf8Length(text) == std::string(text).size());
    CHECK(Utf8Length(std::string(text) + "\x80") == std::string(text).size());
  }
  for (const char* text :
       {"", "\x80", "\xc1\xbf", "\xc2", "\xc2(", "\xe0\x9f\xbf", "\xed\xa0\x80",
        "\xe1\x80", "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80", "\xf5\x80\x80\x80",
        "\xff", "\xf1\x80\x80("}) {
    CHECK(Utf8Length(text) == 0);
  }
}

TEST_CASE("addresses are split", "[support]") {
  HostPort split = SplitAddress("10.0.0.1:80");
  CHECK(split.host == "10.0.0.1");
  CHECK(split.port == 80);
  CHECK(SplitAddress("10.0.0.1").port == 0);
  CHECK(SplitAddress("10.0.0.1:x").port == 0);
}

}  // namespace
}  // namespace chervilwick
