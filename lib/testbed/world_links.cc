// Connections between processes under virtual time.

#include <algorithm>
#include <utility>

#include "chervilwick/testbed/world.h"
#include "chervilwick/wire/codec.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kReconnectInterval = absl::Milliseconds(500);
constexpr absl::Duration kSilenceLimit = absl::Seconds(3);
constexpr absl::Duration kReorderSpread = absl::Milliseconds(20);

}  // namespace

World::Node* World::FindNode(const NodeName& name) {
  auto it = names_.find(name);
  if (it == names_.end()) return nullptr;
  auto [is_entry, index] = it->second;
  if (is_entry) return &entries_[index];
  return &agents_[index];
}

bool World::IsUp(const NodeName& name) {
  auto it = names_.find(name);
  if (it == names_.end()) return false;
  auto [is_entry, index] = it->second;
  return is_entry ? entries_[index].core != nullptr
                  : agents_[index].core != nullptr;
}

World::Link& World::LinkOf(const NodeName& from, const NodeName& to) {
  return links_[{from, to}];
}

absl::Duration World::Delay(const ZoneName& a, const ZoneName& b) {
  absl::Duration base = a == b ? options_.local_delay : options_.zone_delay;
  return base * (0.8 + 0.4 * Draw());
}

Hello World::HelloOf(const NodeName& name) {
  Hello hello;
  auto [is_entry, index] = names_.at(name);
  hello.role = is_entry ? NodeRole::kEntry : NodeRole::kAgent;
  hello.zone = FindNode(name)->zone;
  hello.address = name.value();
  if (!is_entry) hello.backend = agents_[index].engine->options().name;
  return hello;
}

// Fake of the transport: keeps the connections that entries ask for.
void World::Reconnect() {
  for (EntryNode& node : entries_) {
    if (node.core == nullptr || events_.now() < node.paused_until) continue;
    for (const std::string& address : node.peers) {
      NodeName peer(address);
      Link& back = LinkOf(peer, node.name);
      bool silent = events_.now() - back.last_heard > kSilenceLimit;
      if (back.connected && !silent) continue;
      if (IsUp(peer)) Connect(node.name, peer);
    }
  }
  events_.After(kReconnectInterval, [this] { Reconnect(); });
}

void World::Connect(const NodeName& from, const NodeName& to) {
  for (auto& [a, b] : {std::pair(from, to), std::pair(to, from)}) {
    Link& link = LinkOf(a, b);
    link.silent = false;
    link.connected = true;
    link.last_heard = events_.now();
    auto [is_entry, index] = names_.at(a);
    Incarnation incarnation =
        is_entry ? entries_[index].core->context().options.incarnation
                 : agents_[index].core->options().incarnation;
    VersionNumber version = is_entry ? entries_[index].core->config().number()
                                     : agents_[index].core->config().number();
    Send(*FindNode(a), incarnation, version, b, HelloOf(a));
  }
}

void World::Send(const Node& from, Incarnation incarnation,
                 VersionNumber version, const NodeName& to, Message message) {
  Node* target = FindNode(to);
  if (target == nullptr || !IsUp(to)) return;
  Link& link = LinkOf(from.name, to);
  bool dropped = !link.connected || link.silent ||
                 events_.now() < link.cut_until || Draw() < loss_;
  if (dropped) return;
  Envelope envelope{from.name, incarnation, version, std::move(message)};
  ++messages_;
  if (counts_bytes_) message_bytes_ += EncodeFrame(envelope).size();
  absl::Time at = events_.now() + Delay(from.zone, target->zone);
  if (reorders_) {
    at += kReorderSpread * Draw();
  } else {
    at = std::max(at, link.last_delivery);
    link.last_delivery = at;
  }
  bool twice = Draw() < duplication_;
  if (twice) {
    events_.At(at + kReorderSpread * Draw(),
               [this, to, envelope] { Deliver(to, envelope); });
  }
  events_.At(at, [this, to, envelope = std::move(envelope)] {
    Deliver(to, envelope);
  });
}

void World::Deliver(const NodeName& to, Envelope envelope) {
  Node* node = FindNode(to);
  if (!IsUp(to)) return;
  if (events_.now() < node->paused_until) {
    HoldUntilResumed(*node, [this, to, envelope = std::move(envelope)] {
      Deliver(to, envelope);
    });
    return;
  }
  LinkOf(envelope.from, to).last_heard = events_.now();
  auto [is_entry, index] = names_.at(to);
  if (is_entry) {
    HandleEntry(index, node->generation,
                EntryMessageReceived{std::move(envelope)});
  } else {
    HandleAgent(index, node->generation,
                AgentMessageReceived{std::move(envelope)});
  }
}

void World::HoldUntilResumed(Node& node, EventQueue::Callback callback) {
  node.held.push_back(std::move(callback));
  if (node.held.size() > 1) return;
  events_.At(node.paused_until, [this, &node] { Resume(node); });
}

void World::Resume(Node& node) {
  if (events_.now() < node.paused_until) {
    // The pause was extended in the meantime.
    events_.At(node.paused_until, [this, &node] { Resume(node); });
    return;
  }
  for (EventQueue::Callback& it : std::exchange(node.held, {})) it();
}

}  // namespace chervilwick
