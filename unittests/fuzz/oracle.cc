// Oracle of the invariants.

#include "oracle.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "chervilwick/config/version_json.h"

namespace chervilwick {
namespace {

// Stated bounds: the lease timeout with its renewal and a tick, the time after
// which a leaving backend server gets no new work, and the deadline of requests
// in the fuzzed setup with a check interval.
constexpr absl::Duration kOrphanBound = absl::Seconds(5);
constexpr absl::Duration kDrainBound = absl::Seconds(3);
constexpr absl::Duration kDeadline = absl::Seconds(10);
constexpr absl::Duration kDeadlineSlack = absl::Seconds(1);

}  // namespace

void Oracle::NoteAgentPause(size_t agent, absl::Time until) {
  agent_paused_until_[agent] = std::max(agent_paused_until_[agent], until);
}

std::string Oracle::CheckStep() {
  for (const auto& [number, client] : world_.clients()) {
    std::string problem = CheckClient(client);
    if (!problem.empty()) return problem;
  }
  for (std::string problem : {CheckVersions(), CheckOrphans(), CheckDrains()}) {
    if (!problem.empty()) return problem;
  }
  return "";
}

std::string Oracle::CheckClient(const ClientRecord& client) {
  std::string who = absl::StrCat("client ", client.number, ": ");
  if (client.outcomes.size() > 1) return who + "answered twice";
  std::string problem =
      client.is_call ? CheckCall(client) : CheckStream(client);
  if (problem.empty() && !client.outcomes.empty()) {
    auto [it, added] =
        tokens_at_end_.emplace(client.number, client.tokens.size());
    if (it->second != client.tokens.size()) problem = "tokens after the end";
  }
  bool late = !client.outcomes.empty() && !entry_paused_[client.entry] &&
              client.ended - client.asked > kDeadline + kDeadlineSlack;
  if (problem.empty() && late) problem = "answered after its deadline";
  return problem.empty() ? "" : who + problem;
}

std::string Oracle::CheckStream(const ClientRecord& client) {
  std::vector<std::string> expected = ExpectedAnswer(client.prompt);
  bool is_prefix =
      client.tokens.size() <= expected.size() &&
      std::equal(client.tokens.begin(), client.tokens.end(), expected.begin());
  if (!is_prefix) return "got tokens that are not its own answer's, in order";
  if (client.outcomes.empty()) return "";
  RunState run = client.outcomes[0].run;
  if (run == RunState::kDone && client.tokens.size() != expected.size()) {
    return "an answer said to be whole is not";
  }
  if (run == RunState::kNotRun && ModelRuns(client.prompt) > 0) {
    return absl::StrCat("told \"not run\" (", client.outcomes[0].code,
                        ") but it ran");
  }
  return "";
}

std::string Oracle::CheckCall(const ClientRecord& client) {
  uint64_t runs = PlainRuns(client.prompt);
  if (!client.idempotent && runs > 1) return "non-idempotent call ran twice";
  if (client.outcomes.empty()) return "";
  const RequestOutcome& outcome = client.outcomes[0];
  std::string expected = absl::StrCat("done ", client.prompt, " run ");
  if (outcome.run == RunState::kDone &&
      !absl::StartsWith(outcome.body, expected)) {
    return "got another call's answer";
  }
  bool only_one = RequestsWithBody(client.prompt) == 1;
  if (outcome.run == RunState::kNotRun && only_one && runs > 0) {
    return absl::StrCat("told \"not run\" (", outcome.code, ") but it ran");
  }
  return "";
}

uint64_t Oracle::RequestsWithBody(const std::string& body) {
  return static_cast<uint64_t>(
      std::count_if(world_.clients().begin(), world_.clients().end(),
                    [&](const auto& it) { return it.second.prompt == body; }));
}

uint64_t Oracle::PlainRuns(const std::string& body) {
  uint64_t runs = 0;
  for (size_t it = 0; it < world_.agent_count(); ++it) {
    const auto& log = world_.engine(it).log().plain_runs;
    auto found = log.find(body);
    if (found != log.end()) runs += found->second;
  }
  return runs;
}

uint64_t Oracle::ModelRuns(const std::string& prompt) {
  uint64_t runs = 0;
  for (size_t it = 0; it < world_.agent_count(); ++it) {
    const auto& log = world_.engine(it).log().model_runs;
    auto found = log.find(prompt);
    if (found != log.end()) runs += found->second;
  }
  return runs;
}

std::string Oracle::CheckVersions() {
  std::map<Incarnation, uint64_t> alive;
  for (size_t it = 0; it < world_.entry_count(); ++it) {
    EntryCore* core = world_.entry(it);
    if (core == nullptr) continue;
    alive[core->context().options.incarnation] =
        core->config().number().value();
  }
  for (size_t it = 0; it < world_.agent_count(); ++it) {
    AgentCore* core = world_.agent(it);
    if (core == nullptr) continue;
    alive[core->options().incarnation] = core->config().number().value();
  }
  for (const auto& [process, number] : alive) {
    auto before = versions_.find(process);
    if (before != versions_.end() && number < before->second) {
      return "a process went back to an old version";
    }
  }
  versions_ = std::move(alive);
  return "";
}

std::string Oracle::CheckOrphans() {
  std::map<std::string, absl::Time> ended;
  for (const auto& [number, client] : world_.clients()) {
    bool over = !client.outcomes.empty() || client.gone || client.entry_died;
    if (over && !client.is_call) ended[client.prompt] = client.ended;
  }
  for (size_t it = 0; it < world_.agent_count(); ++it) {
    if (world_.agent(it) == nullptr) continue;
    for (const std::string& question : world_.engine(it).RunningQuestions()) {
      auto found = ended.find(question);
      if (found == ended.end()) continue;
      absl::Time since = std::max(found->second, agent_paused_until_[it]);
      if (world_.now() - since > kOrphanBound) {
        return absl::StrCat("engine ", it, " still runs \"", question,
                            "\" whose caller is gone");
      }
    }
  }
  return "";
}

std::string Oracle::CheckDrains() {
  for (size_t it = 0; it < world_.agent_count(); ++it) {
    AgentCore* core = world_.agent(it);
    if (core == nullptr || !core->IsLeaving()) {
      leaving_since_.erase(it);
      continue;
    }
    auto [since, added] = leaving_since_.emplace(it, world_.now());
    absl::Time begin = std::max(since->second, agent_paused_until_[it]);
    if (world_.LastNewWork(it) > begin + kDrainBound) {
      return absl::StrCat("agent ", it, " began new work while leaving");
    }
  }
  return "";
}

std::string Oracle::CheckVerdicts() {
  std::map<std::string, uint64_t> stored;  // number by patch id
  for (const auto& [key, value] : world_.store().data()) {
    if (!absl::StrContains(key, "config/versions/")) continue;
    std::optional<VersionRecord> record = VersionRecordFromJson(value.value);
    if (!record) return "a version in the store can't be read";
    auto [it, added] =
        stored.emplace(record->patch_id.value(), record->number.value());
    if (!added) return "a patch was accepted twice: " + it->first;
  }
  for (const VersionResult& it : world_.verdicts()) {
    bool is_patch = it.kind == VersionRequestKind::kPatch ||
                    it.kind == VersionRequestKind::kRetreat;
    if (!is_patch) continue;
    // The harness numbers patch ids like requests.
    auto found = stored.find(absl::StrCat("patch-", it.id));
    bool accepted = it.outcome == VersionOutcome::kAccepted;
    if (accepted &&
        (found == stored.end() || found->second != it.number.value())) {
      return absl::StrCat("patch ", it.id,
                          " said accepted is not in the store");
    }
    bool refused = it.outcome == VersionOutcome::kNotAccepted;
    if (refused && found != stored.end()) {
      return absl::StrCat("patch ", it.id, " said not accepted (", it.code,
                          ") is in the store");
    }
  }
  return "";
}

std::string Oracle::CheckEnd() {
  std::string problem = CheckStep();
  if (problem.empty()) problem = CheckVerdicts();
  if (!problem.empty()) return problem;
  for (const auto& [number, client] : world_.clients()) {
    bool over = !client.outcomes.empty() || client.gone || client.entry_died;
    if (!over) return absl::StrCat("client ", number, " never got an answer");
  }
  std::set<uint64_t> numbers;
  for (size_t it = 0; it < world_.entry_count(); ++it) {
    numbers.insert(world_.entry(it)->config().number().value());
  }
  for (size_t it = 0; it < world_.agent_count(); ++it) {
    AgentCore* core = world_.agent(it);
    numbers.insert(core->config().number().value());
    if (core->pieces_held() != 0 || core->live_attempts() != 0) {
      return absl::StrCat("agent ", it, " still holds memory for nobody");
    }
    if (world_.engine(it).running() != 0) {
      return absl::StrCat("engine ", it, " still runs something");
    }
  }
  auto head = world_.store().data().find("chervilwick/config/head");
  if (head == world_.store().data().end()) return "";
  bool everywhere = numbers.size() == 1 &&
                    absl::StrCat(*numbers.begin()) == head->second.value;
  return everywhere ? "" : "the accepted version is not in force everywhere";
}

}  // namespace chervilwick
