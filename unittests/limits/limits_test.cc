// Tests of the admission queue and the retry budget.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "chervilwick/limits/admission_queue.h"
#include "chervilwick/limits/retry_budget.h"

namespace chervilwick {
namespace {

QueuedRequest Request(uint64_t id, const std::string& client,
                      Priority priority = Priority::kNormal,
                      uint32_t cost = 100) {
  return {RequestId(id), ClientName(client), priority, cost};
}

TEST_CASE("requests are served in order of priority, not of arrival",
          "[limits]") {
  AdmissionQueue queue;
  AdmissionLimits limits;
  queue.Push(Request(1, "a", Priority::kBatch), limits);
  queue.Push(Request(2, "a", Priority::kUrgent), limits);
  queue.Push(Request(3, "a", Priority::kNormal), limits);
  CHECK(queue.Pop()->id == RequestId(2));
  CHECK(queue.Pop()->id == RequestId(3));
  CHECK(queue.Pop()->id == RequestId(1));
  CHECK_FALSE(queue.Pop().has_value());
}

TEST_CASE(
    "clients of a class get equal shares by cost, not by number of requests",
    "[limits]") {
  AdmissionQueue queue;
  AdmissionLimits limits;
  uint64_t id = 1;
  for (int it = 0; it < 200; ++it) {
    queue.Push(Request(id++, "many-small", Priority::kNormal, 500), limits);
  }
  for (int it = 0; it < 20; ++it) {
    queue.Push(Request(id++, "few-large", Priority::kNormal, 4000), limits);
  }
  std::map<std::string, uint64_t> served;
  for (int it = 0; it < 90; ++it) {
    QueuedRequest request = *queue.Pop();
    served[request.client.value()] += request.cost;
  }
  double ratio = static_cast<double>(served["many-small"]) /
                 static_cast<double>(served["few-large"]);
  CHECK(ratio > 0.8);
  CHECK(ratio < 1.25);
}

TEST_CASE("queue limits are enforced and only less urgent requests are evicted",
          "[limits]") {
  AdmissionQueue queue;
  AdmissionLimits limits{3, 2};
  CHECK(queue.Push(Request(1, "a", Priority::kBatch), limits) ==
        AdmissionResult::kQueued);
  CHECK(queue.Push(Request(2, "a", Priority::kBatch), limits) ==
        AdmissionResult::kQueued);
  CHECK(queue.Push(Request(3, "a", Priority::kBatch), limits) ==
        AdmissionResult::kClientLimit);
  CHECK(queue.Push(Request(4, "b", Priority::kBatch), limits) ==
        AdmissionResult::kQueued);
  CHECK(queue.Push(Request(5, "c", Priority::kUrgent), limits) ==
        AdmissionResult::kQueueFull);
  std::optional<QueuedRequest> evicted =
      queue.EvictLessUrgent(Priority::kUrgent);
  REQUIRE(evicted.has_value());
  CHECK(evicted->id == RequestId(2));
  CHECK_FALSE(queue.EvictLessUrgent(Priority::kBatch).has_value());
}

TEST_CASE("size and cost stay consistent under any sequence of operations",
          "[limits]") {
  rc::prop(
      "size and cost match the waiting requests",
      [](const std::vector<uint8_t>& calls) {
        AdmissionQueue queue;
        AdmissionLimits limits{50, 20};
        std::map<uint64_t, QueuedRequest> waiting;
        uint64_t next = 1;
        for (uint8_t call : calls) {
          auto priority = static_cast<Priority>(call % 3);
          std::string client(1, static_cast<char>('a' + call % 4));
          QueuedRequest request = Request(next++, client, priority, 1 + call);
          if (call % 5 < 3) {
            bool queued =
                queue.Push(request, limits) == AdmissionResult::kQueued;
            if (queued) waiting[request.id.value()] = request;
          } else if (call % 5 == 3) {
            if (auto popped = queue.Pop()) waiting.erase(popped->id.value());
          } else if (!waiting.empty()) {
            QueuedRequest victim = waiting.begin()->second;
            RC_ASSERT(queue.Remove(victim.id, victim.client, victim.priority));
            waiting.erase(victim.id.value());
          }
          RC_ASSERT(queue.size() == waiting.size());
        }
        while (auto popped = queue.Pop()) waiting.erase(popped->id.value());
        RC_ASSERT(waiting.empty());
        RC_ASSERT(queue.CostAheadOf(Priority::kBatch) == 0U);
      });
}

TEST_CASE("retries are limited to the burst plus a fraction of new requests",
          "[limits]") {
  RetryBudget budget(2);
  CHECK(budget.TryTake());
  CHECK(budget.TryTake());
  CHECK_FALSE(budget.TryTake());
  for (int it = 0; it < 10; ++it) budget.OnFreshRequest(10);
  CHECK(budget.TryTake());
  CHECK_FALSE(budget.TryTake());
}

}  // namespace
}  // namespace chervilwick
