// Worlds and requests that tests share.

#ifndef CHERVILWICK_UNITTESTS_COMMON_TEST_WORLDS_H_
#define CHERVILWICK_UNITTESTS_COMMON_TEST_WORLDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chervilwick/testbed/world.h"

namespace chervilwick {

// Two entries, two prefill, two decode and two plain agents in two zones.
WorldOptions SmallWorld(uint64_t seed);
// Accepts the first version and waits until it is in force.
void AcceptSetup(World& world, const std::string& priority = "normal");
// Asks for a stream whose answer has `tokens` tokens.
uint64_t AskFor(World& world, size_t entry, uint64_t question, uint32_t tokens);
// Asks for four streams on a wire that loses, repeats and, if wanted, reorders
// a fifth of all messages, then heals it; returns their numbers.
std::vector<uint64_t> PlayLossyStreams(World& world, bool reorders);
// Calls the booking service.
uint64_t Book(World& world, size_t entry, const std::string& body,
              const std::string& key);
// Calls the idempotent service.
uint64_t CheckBooking(World& world, size_t entry, const std::string& body);
// Runs of a plain call over all services.
uint64_t PlainRuns(World& world, const std::string& body);
// Runs of a model request over all engines.
uint64_t ModelRuns(World& world, const std::string& prompt);
// Submits a patch and returns the id of the request.
uint64_t SubmitPatch(World& world, size_t entry, uint64_t base,
                     const std::string& patch, const std::string& patch_id);
// Verdict of a request, if there is one.
const VersionResult* VerdictOf(World& world, uint64_t id);

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_COMMON_TEST_WORLDS_H_
