// Memory for answers of backend servers.

#ifndef CHERVILWICK_DISPATCH_ANSWER_MEMORY_H_
#define CHERVILWICK_DISPATCH_ANSWER_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "chervilwick/dispatch/backend_record.h"
#include "chervilwick/support/strong_type.h"

namespace chervilwick {

// Counts the bytes of all answers that are held together and decides which to
// give up when they exceed a limit. A faulty server may send an answer without
// end to each of many calls: each is bounded, their sum is not.
class AnswerMemory {
 public:
  // An answer that is being read. Counts until it is destroyed.
  class Answer {
   public:
    // `give_up` is called when the answer has to be dropped. It may destroy
    // this object, and other answers.
    Answer(AnswerMemory& memory, std::function<void()> give_up);
    ~Answer();
    Answer(const Answer&) = delete;
    Answer& operator=(const Answer&) = delete;

    // Sets the bytes that are held of the answer and the server that sent them.
    void Hold(const BackendName& backend, size_t bytes);
    size_t bytes() const;

   private:
    AnswerMemory& memory_;
    uint64_t id_;
  };

  explicit AnswerMemory(size_t limit) : limit_(limit) {}

  // `on_excess` is called each time that an answer grows beyond the limit. It
  // arranges for GiveUpExcess to be called soon, but not from inside it.
  void SetExcessHandler(std::function<void()> on_excess) {
    on_excess_ = std::move(on_excess);
  }
  // Drops answers until the others fit. The server of which most bytes are held
  // loses its largest answer first, so that a faulty one does not cost the
  // answers of others.
  void GiveUpExcess();
  size_t total() const { return total_; }

 private:
  struct Held {
    BackendName backend;
    size_t bytes = 0;
    std::function<void()> give_up;
  };

  void SetBytes(Held& held, size_t bytes);
  // Answer to drop first; nullopt if nothing is held.
  std::optional<uint64_t> FindLargest() const;

  size_t limit_;
  size_t total_ = 0;
  uint64_t next_id_ = 1;
  std::map<uint64_t, Held> answers_;
  std::map<BackendName, size_t> totals_;  // of the bytes of each server
  std::function<void()> on_excess_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_ANSWER_MEMORY_H_
