// Processes under virtual time.

#include "chervilwick/testbed/world.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kEntryTick = absl::Milliseconds(10);
constexpr absl::Duration kAgentTick = absl::Milliseconds(20);
constexpr absl::Duration kHostListInterval = absl::Seconds(1);

}  // namespace

World::World(WorldOptions options)
    : options_(std::move(options)), random_(options_.seed) {
  for (size_t it = 0; it < options_.entry_zones.size(); ++it) {
    EntryNode node;
    node.name = NodeName(absl::StrCat("entry-", it));
    node.zone = options_.entry_zones[it];
    names_[node.name] = {true, it};
    entries_.push_back(std::move(node));
  }
  for (size_t it = 0; it < options_.agents.size(); ++it) {
    AgentNode node;
    const WorldAgentSpec& spec = options_.agents[it];
    node.name = NodeName(absl::StrCat("agent-", spec.engine.name.value()));
    node.zone = spec.zone;
    node.engine = std::make_unique<FakeEngine>(
        spec.engine, events_, [this](const std::string& name) -> FakeEngine* {
          for (AgentNode& other : agents_) {
            if (other.engine->options().name.value() == name) {
              return other.engine.get();
            }
          }
          return nullptr;
        });
    names_[node.name] = {false, it};
    agents_.push_back(std::move(node));
  }
  for (size_t it = 0; it < entries_.size(); ++it) StartEntry(it);
  for (size_t it = 0; it < agents_.size(); ++it) StartAgent(it);
  PublishHosts();
  Reconnect();
}

World::~World() = default;

void World::RunFor(absl::Duration duration) {
  events_.RunUntil(events_.now() + duration);
}

double World::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

void World::StartEntry(size_t index) {
  EntryNode& node = entries_[index];
  EntryOptions options;
  options.name = node.name;
  options.incarnation = Incarnation(next_incarnation_++);
  options.zone = node.zone;
  options.address = node.name.value();
  options.seed = options_.seed * 1000 + options.incarnation.value();
  options.policy = options_.policy;
  node.core = std::make_unique<EntryCore>(options);
  node.drained = false;
  uint64_t generation = ++node.generation;
  // Processes don't tick in step.
  events_.After(kEntryTick * Draw(),
                [this, index, generation] { TickEntry(index, generation); });
}

void World::StartAgent(size_t index) {
  AgentNode& node = agents_[index];
  AgentOptions options;
  options.name = node.name;
  options.incarnation = Incarnation(next_incarnation_++);
  options.zone = node.zone;
  options.backend = node.engine->options().name;
  options.decode_places = node.engine->options().places;
  if (options_.adjust_agent) options_.adjust_agent(options);
  node.core = std::make_unique<AgentCore>(options);
  node.status_known = false;
  node.drained = false;
  uint64_t generation = ++node.generation;
  node.engine->Attach(
      [this, index, generation](EngineTokens it) {
        HandleAgent(index, generation, std::move(it));
      },
      [this, index, generation](EngineFinished it) {
        events_.After(absl::ZeroDuration(),
                      [this, index, generation, it = std::move(it)] {
                        HandleAgent(index, generation, it);
                      });
      });
  events_.After(kAgentTick * Draw(),
                [this, index, generation] { TickAgent(index, generation); });
}

void World::TickEntry(size_t index, uint64_t generation) {
  if (entries_[index].generation != generation) return;
  events_.After(kEntryTick,
                [this, index, generation] { TickEntry(index, generation); });
  if (!IsEntryPaused(index)) HandleEntry(index, generation, EntryTick{});
}

void World::TickAgent(size_t index, uint64_t generation) {
  AgentNode& node = agents_[index];
  if (node.generation != generation) return;
  events_.After(kAgentTick,
                [this, index, generation] { TickAgent(index, generation); });
  if (IsAgentPaused(index)) return;
  EngineStatus status = node.engine->Status();
  if (!node.status_known || !(status == node.reported)) {
    node.status_known = true;
    node.reported = status;
    HandleAgent(index, generation, EngineStatusChanged{status});
  }
  HandleAgent(index, generation, AgentTick{});
}

void World::PublishHosts() {
  std::vector<HostRecord> hosts;
  for (const EntryNode& it : entries_) {
    hosts.push_back({it.name, NodeRole::kEntry, it.zone, it.name.value(),
                     BackendName(""), false});
  }
  for (const AgentNode& it : agents_) {
    hosts.push_back({it.name, NodeRole::kAgent, it.zone, it.name.value(),
                     it.engine->options().name, false});
  }
  for (size_t it = 0; it < entries_.size(); ++it) {
    if (entries_[it].core == nullptr || IsEntryPaused(it)) continue;
    HandleEntry(it, entries_[it].generation, HostListRead{hosts});
  }
  events_.After(kHostListInterval, [this] { PublishHosts(); });
}

bool World::IsEntryPaused(size_t index) const {
  return events_.now() < entries_[index].paused_until;
}

bool World::IsAgentPaused(size_t index) const {
  return events_.now() < agents_[index].paused_until;
}

void World::HandleEntry(size_t index, uint64_t generation,
                        const EntryEvent& event) {
  EntryNode& node = entries_[index];
  if (node.generation != generation || node.core == nullptr) return;
  if (events_.now() < node.paused_until) {
    HoldUntilResumed(node, [this, index, generation, event] {
      HandleEntry(index, generation, event);
    });
    return;
  }
  for (EntryAction& it : node.core->Handle(event, events_.now())) {
    PerformEntry(index, std::move(it));
  }
}

void World::HandleAgent(size_t index, uint64_t generation,
                        const AgentEvent& event) {
  AgentNode& node = agents_[index];
  if (node.generation != generation || node.core == nullptr) return;
  if (events_.now() < node.paused_until) {
    HoldUntilResumed(node, [this, index, generation, event] {
      HandleAgent(index, generation, event);
    });
    return;
  }
  for (AgentAction& it : node.core->Handle(event, events_.now())) {
    PerformAgent(index, std::move(it));
  }
}

void World::PerformEntry(size_t index, EntryAction action) {
  EntryNode& node = entries_[index];
  std::visit(Overloaded{
                 [&](SendToPeer& it) {
                   Send(node, node.core->context().options.incarnation,
                        node.core->config().number(), it.to,
                        std::move(it.message));
                 },
                 [&](DeliverTokens& it) {
                   auto found = clients_.find(it.id.value());
                   if (found == clients_.end()) return;
                   ClientRecord& client = found->second;
                   if (client.gone || client.entry_died) return;
                   if (client.tokens.empty()) client.first_token = now();
                   client.last_token = now();
                   client.tokens.insert(client.tokens.end(), it.tokens.begin(),
                                        it.tokens.end());
                 },
                 [&](FinishRequest& it) { FinishClient(std::move(it)); },
                 [&](CallStore& it) { CallStoreFor(index, it); },
                 [&](AnswerOperator& it) {
                   verdicts_.push_back(std::move(it.verdict));
                 },
                 [&](SetPeers& it) { node.peers = std::move(it.addresses); },
                 [](SpanEnded&) {},
                 [&](EntryDrained&) { node.drained = true; },
             },
             action);
}

void World::CallStoreFor(size_t index, const CallStore& action) {
  uint64_t generation = entries_[index].generation;
  absl::Duration one_way =
      options_.store_delay * (0.25 + 0.5 * Draw()) + store_faults_.extra_delay;
  StoreUser user = action.user;
  auto answer = [this, index, generation, user](KvReply reply) {
    HandleEntry(index, generation, StoreReplied{user, std::move(reply)});
  };
  if (store_faults_.down) {
    KvReply reply;
    reply.call_id = action.call.call_id;
    reply.outcome = KvOutcome::kUnavailable;
    events_.After(one_way, [answer, reply] { answer(reply); });
    return;
  }
  events_.After(one_way, [this, answer, one_way, call = action.call] {
    KvReply reply = store_.Perform(call);
    bool writes = !std::holds_alternative<KvRange>(call.body);
    if (store_faults_.loses_answers && writes) {
      KvReply lost;
      lost.call_id = call.call_id;
      lost.outcome = KvOutcome::kUnknown;
      reply = lost;
    }
    events_.After(one_way, [answer, reply] { answer(reply); });
  });
}

void World::PerformAgent(size_t index, AgentAction action) {
  AgentNode& node = agents_[index];
  std::visit(
      Overloaded{
          [&](SendMessage& it) {
            Send(node, node.core->options().incarnation,
                 node.core->config().number(), it.to, std::move(it.message));
          },
          [&](RunWork& it) {
            new_work_[index] = now();
            node.engine->Run(it.start);
          },
          [&](CancelWork& it) { node.engine->Cancel(it.attempt); },
          [&](SendEngineOrder& it) {
            uint64_t generation = node.generation;
            EngineOrder order = it.order;
            events_.After(absl::Milliseconds(300), [this, index, generation,
                                                    order] {
              agents_[index].engine->Apply(order);
              HandleAgent(index, generation,
                          EngineStatusChanged{agents_[index].engine->Status()});
              HandleAgent(index, generation, EngineOrderDone{true});
            });
          },
          [](SpanEnded&) {},
          [&](AgentDrained&) { node.drained = true; },
      },
      action);
}

absl::Time World::LastNewWork(size_t agent) const {
  auto it = new_work_.find(agent);
  return it == new_work_.end() ? absl::InfinitePast() : it->second;
}

}  // namespace chervilwick
