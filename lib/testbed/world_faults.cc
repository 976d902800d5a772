// Faults of processes, connections and the platform.

#include <algorithm>

#include "chervilwick/testbed/world.h"

namespace chervilwick {

void World::Disconnect(const NodeName& name) {
  for (auto& [ends, link] : links_) {
    if (ends.first == name || ends.second == name) link.connected = false;
  }
}

void World::CrashEntry(size_t index) {
  EntryNode& node = entries_[index];
  if (node.core == nullptr) return;
  node.core.reset();
  ++node.generation;
  node.peers.clear();
  node.paused_until = absl::InfinitePast();
  Disconnect(node.name);
  for (auto& [number, client] : clients_) {
    bool open = client.outcomes.empty() && !client.gone;
    if (client.entry != index || !open || client.entry_died) continue;
    client.entry_died = true;
    client.ended = now();
  }
}

void World::RestartEntry(size_t index) {
  if (entries_[index].core == nullptr) StartEntry(index);
}

void World::CrashAgent(size_t index) {
  AgentNode& node = agents_[index];
  if (node.core == nullptr) return;
  node.core.reset();
  ++node.generation;
  node.paused_until = absl::InfinitePast();
  node.engine->Detach();
  Disconnect(node.name);
}

void World::RestartAgent(size_t index) {
  if (agents_[index].core == nullptr) StartAgent(index);
}

void World::StopAgent(size_t index) {
  HandleAgent(index, agents_[index].generation, AgentStopRequested{});
}

void World::StopEntry(size_t index) {
  HandleEntry(index, entries_[index].generation, EntryStopRequested{});
}

void World::PauseEntry(size_t index, absl::Duration duration) {
  // What waits for the end of a pause is not called sooner: a shorter pause
  // inside a longer one changes nothing.
  absl::Time& until = entries_[index].paused_until;
  until = std::max(until, now() + duration);
}

void World::PauseAgent(size_t index, absl::Duration duration) {
  absl::Time& until = agents_[index].paused_until;
  until = std::max(until, now() + duration);
}

void World::SilenceLink(size_t entry, size_t agent) {
  LinkOf(entries_[entry].name, agents_[agent].name).silent = true;
  LinkOf(agents_[agent].name, entries_[entry].name).silent = true;
}

void World::CutLink(size_t entry, size_t agent, absl::Time until) {
  LinkOf(entries_[entry].name, agents_[agent].name).cut_until = until;
  LinkOf(agents_[agent].name, entries_[entry].name).cut_until = until;
}

void World::CutEntries(size_t a, size_t b, absl::Time until) {
  LinkOf(entries_[a].name, entries_[b].name).cut_until = until;
  LinkOf(entries_[b].name, entries_[a].name).cut_until = until;
}

void World::SetLoss(double loss, double duplication, bool reorders) {
  loss_ = loss;
  duplication_ = duplication;
  reorders_ = reorders;
}

void World::HealAll() {
  SetLoss(0, 0, false);
  store_faults_ = StoreFaults{};
  for (auto& [ends, link] : links_) {
    link.cut_until = absl::InfinitePast();
  }
  for (size_t it = 0; it < entries_.size(); ++it) RestartEntry(it);
  for (size_t it = 0; it < agents_.size(); ++it) RestartAgent(it);
}

}  // namespace chervilwick
