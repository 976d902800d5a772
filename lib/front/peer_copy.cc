// Fetches another front's copy of the store.

#include "chervilwick/front/peer_copy.h"

#include "absl/strings/str_cat.h"
#include "chervilwick/support/overloaded.h"

namespace chervilwick {
namespace {

constexpr absl::Duration kRequestInterval = absl::Milliseconds(300);
// A request without an answer is cancelled and sent again after this time.
constexpr absl::Duration kRequestTimeout = absl::Milliseconds(500);
// A peer that did not answer is not asked again for that long.
constexpr absl::Duration kAvoidance = absl::Seconds(2);
// How long a peer is asked although the store seems to be reachable.
constexpr absl::Duration kWantedTime = absl::Milliseconds(500);
constexpr size_t kMaxCopyBytes = size_t{8} << 20;

}  // namespace

void PeerCopy::OnDigest(const PeerDigest& digest, const Endpoint& from) {
  // The peer reads everything again and has no whole copy.
  if (digest.store_revision.number == 0) return;
  if (newest_peer_ && digest.store_revision <= newest_revision_) return;
  auto avoided = avoided_until_.find(from);
  if (avoided != avoided_until_.end()) {
    if (context_.loop.Now() < avoided->second) return;
    avoided_until_.erase(avoided);
  }
  newest_revision_ = digest.store_revision;
  newest_peer_ = from;
}

void PeerCopy::Request() {
  wanted_until_ = context_.loop.Now() + kWantedTime;
  Tick();
}

std::optional<Endpoint> PeerCopy::ChoosePeer(absl::Time now) const {
  bool is_wanted = now < wanted_until_;
  if (store_.is_reachable() && store_.has_backends() && !is_wanted) {
    return std::nullopt;
  }
  if (newest_peer_ && store_.revision() < newest_revision_) {
    return peers_.ControlOf(*newest_peer_);
  }
  // Digests are up to a second old.
  return is_wanted ? peers_.AnyControl() : std::nullopt;
}

void PeerCopy::Tick() {
  absl::Time now = context_.loop.Now();
  if (call_.value() != 0) {
    if (now - last_request_ < kRequestTimeout) return;
    context_.client.Cancel(call_);
    if (newest_peer_) avoided_until_[*newest_peer_] = now + kAvoidance;
    EndCall();
    return;
  }
  if (now - last_request_ < kRequestInterval) return;
  if (std::optional<Endpoint> peer = ChoosePeer(now)) SendRequest(*peer, now);
}

void PeerCopy::SendRequest(const Endpoint& peer, absl::Time now) {
  last_request_ = now;
  body_.clear();
  HttpRequest request;
  request.head.method = "GET";
  request.head.target = kPeerCopyPath;
  request.head.fields = {{"Host", "front"}};
  CallOptions options;
  options.max_body_bytes = kMaxCopyBytes;
  call_ =
      context_.client.Start(peer, request, options,
                            [this](const CallEvent& event) { OnEvent(event); });
}

void PeerCopy::OnEvent(const CallEvent& event) {
  std::visit(Overloaded{
                 [](const HttpHead&) {},
                 [this](const HttpBodyPart& part) {
                   absl::StrAppend(&body_, part.bytes);
                 },
                 [this](const HttpEnd&) {
                   bool taken = store_.ApplySnapshot(body_);
                   context_.log.Write(context_.loop.Now(), "peer_copy",
                                      {{"taken", taken},
                                       {"revision", store_.revision().number}});
                   EndCall();
                 },
                 [this](const CallFailure&) { EndCall(); },
             },
             event);
}

void PeerCopy::EndCall() {
  call_ = CallId();
  newest_revision_ = StoreRevision();
  newest_peer_.reset();
}

}  // namespace chervilwick
