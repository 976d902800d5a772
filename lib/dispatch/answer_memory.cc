// Memory for answers of backend servers.

#include "chervilwick/dispatch/answer_memory.h"

#include <algorithm>
#include <utility>

namespace chervilwick {

AnswerMemory::Answer::Answer(AnswerMemory& memory,
                             std::function<void()> give_up)
    : memory_(memory), id_(memory.next_id_++) {
  memory_.answers_[id_].give_up = std::move(give_up);
}

AnswerMemory::Answer::~Answer() {
  auto it = memory_.answers_.find(id_);
  memory_.SetBytes(it->second, 0);
  memory_.answers_.erase(it);
}

size_t AnswerMemory::Answer::bytes() const {
  return memory_.answers_.at(id_).bytes;
}

void AnswerMemory::Answer::Hold(const BackendName& backend, size_t bytes) {
  Held& held = memory_.answers_.at(id_);
  bool has_grown = bytes > held.bytes;
  if (held.backend != backend) {
    memory_.SetBytes(held, 0);
    held.backend = backend;
  }
  memory_.SetBytes(held, bytes);
  if (has_grown && memory_.total_ > memory_.limit_ && memory_.on_excess_) {
    memory_.on_excess_();
  }
}

void AnswerMemory::SetBytes(Held& held, size_t bytes) {
  if (held.bytes == bytes) return;
  total_ = total_ - held.bytes + bytes;
  size_t& of_server = totals_[held.backend];
  of_server = of_server - held.bytes + bytes;
  if (of_server == 0) totals_.erase(held.backend);
  held.bytes = bytes;
}

std::optional<uint64_t> AnswerMemory::FindLargest() const {
  auto server = std::max_element(
      totals_.begin(), totals_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (server == totals_.end()) return std::nullopt;
  std::optional<uint64_t> largest;
  size_t most = 0;
  for (const auto& [id, held] : answers_) {
    // Of equal ones, the newest has cost least.
    if (held.backend != server->first || held.bytes < most) continue;
    most = held.bytes;
    largest = id;
  }
  return largest;
}

void AnswerMemory::GiveUpExcess() {
  while (total_ > limit_) {
    std::optional<uint64_t> largest = FindLargest();
    if (!largest) return;
    Held& held = answers_.at(*largest);
    std::function<void()> give_up = held.give_up;
    SetBytes(held, 0);
    give_up();
  }
}

}  // namespace chervilwick
