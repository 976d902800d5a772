// Clients and operators of a world.

#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "chervilwick/testbed/world.h"

namespace chervilwick {

void World::FinishClient(FinishRequest action) {
  auto found = clients_.find(action.id.value());
  if (found == clients_.end()) return;
  ClientRecord& client = found->second;
  if (client.gone || client.entry_died) return;
  client.outcomes.push_back(std::move(action.outcome));
  client.ended = now();
  if (on_end) on_end(client);
}

ClientRecord& World::AddClient(size_t entry, const std::string& prompt) {
  uint64_t number = next_client_++;
  ClientRecord& client = clients_[number];
  client.number = number;
  client.entry = entry;
  client.prompt = prompt;
  client.asked = now();
  client.entry_died = entries_[entry].core == nullptr;
  return client;
}

uint64_t World::AskStream(size_t entry, ClientStream ask) {
  ClientRecord& client = AddClient(entry, ask.prompt);
  client.max_tokens = ask.max_tokens;
  uint64_t number = client.number;
  ask.id = RequestId(number);
  HandleEntry(entry, entries_[entry].generation, std::move(ask));
  return number;
}

uint64_t World::AskCall(size_t entry, ClientCall ask, bool idempotent) {
  ClientRecord& client = AddClient(entry, ask.body);
  client.is_call = true;
  client.key = ask.idempotency_key;
  client.idempotent = idempotent;
  uint64_t number = client.number;
  ask.id = RequestId(number);
  HandleEntry(entry, entries_[entry].generation, std::move(ask));
  return number;
}

void World::GoAway(uint64_t number) {
  auto it = clients_.find(number);
  if (it == clients_.end() || !it->second.outcomes.empty()) return;
  ClientRecord& client = it->second;
  if (client.gone || client.entry_died) return;
  client.gone = true;
  client.ended = now();
  HandleEntry(client.entry, entries_[client.entry].generation,
              ClientGone{RequestId(number)});
}

void World::ForgetEndedBefore(absl::Time time) {
  for (auto it = clients_.begin(); it != clients_.end();) {
    const ClientRecord& client = it->second;
    bool over = !client.outcomes.empty() || client.gone || client.entry_died;
    bool forget = over && client.ended < time;
    it = forget ? clients_.erase(it) : std::next(it);
  }
}

uint64_t World::Submit(size_t entry, VersionRequest request) {
  request.id = next_request_++;
  uint64_t id = request.id;
  if (entries_[entry].core != nullptr) {
    HandleEntry(entry, entries_[entry].generation,
                OperatorRequestReceived{std::move(request)});
  }
  return id;
}

std::string MakeSetup(const std::vector<WorldAgentSpec>& agents,
                      const std::string& priority) {
  using nlohmann::json;
  json setup = {{"pools", json::object()},
                {"models", json::object()},
                {"services", json::object()}};
  bool plain = false;
  for (const WorldAgentSpec& it : agents) {
    const FakeEngineOptions& engine = it.engine;
    bool is_plain = engine.role == PoolRole::kPlain;
    plain |= is_plain;
    std::string role = is_plain                            ? "plain"
                       : engine.role == PoolRole::kPrefill ? "prefill"
                                                           : "decode";
    json& pool = setup["pools"][role];
    pool["role"] = role;
    pool["servers"][engine.name.value()] = json::object();
    if (is_plain) continue;
    pool["model"] = "model";
    pool["weights"] = engine.weights;
  }
  setup["models"]["model"] = {
      {"priority", priority},
      {"routes",
       {{"main",
         {{"prefill", "prefill"}, {"decode", "decode"}, {"share", 100}}}}}};
  if (plain) {
    setup["services"]["/booking"] = {{"pool", "plain"}, {"idempotent", false}};
    setup["services"]["/check"] = {
        {"pool", "plain"}, {"idempotent", true}, {"priority", "urgent"}};
  }
  return setup.dump();
}

}  // namespace chervilwick
