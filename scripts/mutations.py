"""Breaks one rule at a time and checks that the tests notice.

Each mutation replaces one piece of text in a copy of the sources, builds the named
test program and expects it to fail. Exits 0 only if all are noticed.

    python3 scripts/mutations.py [NAME ...]
"""

import os
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
FUZZ = "seed=20261204 max_success=1000 max_size=80 noshrink=1"

# name, file, text, replacement, test program
MUTATIONS = [
    ("answered twice", "lib/entry/stream_recovery.cc",
     "context_.Act(FinishRequest{id, std::move(outcome)});",
     "context_.Act(FinishRequest{id, outcome});\n"
     "  context_.Act(FinishRequest{id, std::move(outcome)});", "fuzz"),
    ("tokens repeated after a resume", "lib/entry/stream_delivery.cc",
     "piece.tokens.items.begin() + (next - piece.offset)",
     "piece.tokens.items.begin()", "entry"),
    ("not run, though it may have", "lib/entry/stream_recovery.cc",
     "bool may_have_run = request.open_orders > 0;",
     "bool may_have_run = false;", "fuzz"),
    ("a lost booking is sent again", "lib/entry/call_recovery.cc",
     "void CallFlow::OnLegLost(CallRequest& request, absl::Time now) {\n"
     "  if (!request.route.idempotent) {",
     "void CallFlow::OnLegLost(CallRequest& request, absl::Time now) {\n"
     "  if (request.deadline < now) {", "fuzz"),
    ("leases never end", "lib/agent/agent_work.cc",
     "bool lease_expired = now > record.lease_until;",
     "bool lease_expired = now > record.lease_until + absl::Hours(1);", "fuzz"),
    ("a leaving agent takes new work", "lib/agent/agent_admission.cc",
     "if (IsLeaving()) return RefusalReason::kDraining;", "", "agent"),
    ("an agent leaves with work under way", "lib/agent/agent_work.cc",
     "if (ledger_.live_count() > 0) {", "if (ledger_.live_count() > 1000) {", "entry"),
    ("a version goes back", "lib/config/config_replica.cc",
     "if (record.number <= number_) return false;", "", "config"),
    ("versions are not pulled", "lib/config/config_replica.cc",
     "if (peer_version <= number_ || now < next_pull_) return std::nullopt;",
     "if (peer_version >= number_ || now < next_pull_) return std::nullopt;", "fuzz"),
    ("a waiting request is forgotten", "lib/entry/stream_admission.cc",
     "if (past_target || now > request->deadline) late.push_back(request.get());",
     "if (past_target) late.push_back(request.get());", "fuzz"),
    ("a lost answer is taken for a refusal", "lib/config/version_store.cc",
     "if (record.patch_id != request_.patch_id) {",
     "if (record.patch_id != request_.patch_id || maybe_applied_) {", "entry"),
    ("old versions are not fenced", "lib/agent/agent_admission.cc",
     "if (now > superseded + options_.stale_version_grace) {",
     "if (now > superseded + absl::Hours(1)) {", "agent"),
    ("a booking whose answer proves nothing is sent again", "lib/front/plain_relay.cc",
     "if (MayRunAgain()) {\n    ResendOrFail(BudgetUse::kRetry, {502, reason});",
     "if (sends_ < kMaxSends) {\n    ResendOrFail(BudgetUse::kRetry, {502, reason});", "front"),
    ("placements are told late", "lib/front/front_requests.cc",
     "if (!decisions.empty()) peers_.AnnounceUse();", "", "front"),
    ("distrusted engines are never used", "lib/dispatch/backend_table.cc",
     "return trusted.empty() ? suspects : trusted;", "return trusted;", "dispatch"),
    ("repeated sends beyond the budget", "lib/dispatch/retry_quota.cc",
     "if (RetriesLeft(service, now) < 1) return false;", "", "dispatch"),
    ("places are not given back", "lib/dispatch/stream_lifecycle.cc",
     "services_.scheduler.ReleaseDecode(step.placement);", "", "emulator"),
    ("a silent run is given up before its replacement is certain",
     "lib/dispatch/stream_replacement.cc",
     "  if (!AcquireDecodeSend(*next_, now)) return;\n"
     "  BackendName silent = decode_engine();\n",
     "  BackendName silent = decode_engine();\n", "dispatch"),
    # The platform's traps, in the order of docs/TESTING.md.
    ("a call that ran is said not to have run", "lib/front/plain_relay.cc",
     "if (runs_ > 0 && response.status == 503) response = {502, error.reason};", "", "front"),
    ("a stream that ran is said not to have run", "lib/dispatch/stream_lifecycle.cc",
     "} else if (runs_ > 0) {\n    ending.kind = StreamEnding::Kind::kFailed;", "", "dispatch"),
    ("a call that must run once is repeated", "lib/front/plain_relay.cc",
     "return admitted().route.kind == RouteKind::kIdempotent &&\n         runs_",
     "return runs_", "front"),
    ("a client sets the system's fields", "platform/engine_calls.cc",
     "if (!IsHopByHop(it.name) && !IsSystemField(it.name)) {",
     "if (!IsHopByHop(it.name) || IsSystemField(it.name)) {",
     "platform"),
    ("calls don't name their server", "platform/engine_calls.cc",
     "add(kExpected, options.expected.value());", "", "platform"),
    ("answers to other requests are taken", "lib/net/http_client.cc",
     "skips_ = accepts_ && !accepts_(head, calls_ == 1);", "skips_ = false;", "net"),
    ("bytes after an answer begin the next", "lib/net/http_client.cc",
     "if (closes_ || early || extra != 0) {",
     "if (closes_ || early || extra == SIZE_MAX) {", "net"),
    ("two lengths are taken", "lib/net/http_message.cc",
     "return lengths.lengths + lengths.encodings <= 1;", "return true;", "net"),
    ("a cut answer looks whole", "lib/net/http_client.cc",
     "if (orderly && reader_.IsDone() && !skips_) {", "if (orderly && !skips_) {", "net"),
    ("parts of events are passed on", "lib/front/event_splitter.cc",
     "if (end == 0 || is_out_of_order_) return \"\";",
     "if (is_out_of_order_) return \"\";\n  if (end == 0) end = partial_.size();", "front"),
    ("a resumed stream begins anew", "lib/front/stream_relay.cc",
     "events_.last_id() ? events_.last_id() : admitted().facts.last_event;",
     "admitted().facts.last_event;", "front"),
    ("an engine runs on for a client that left", "lib/front/stream_relay.cc",
     "context().scheduler.Withdraw(admitted().id);\n  CancelCalls();\n  FreeHandle();\n"
     "  Finish(\"client_gone\", 0,",
     "decode_call_.id = CallId();\n  Finish(\"client_gone\", 0,", "front"),
    ("the first prompt call is paid for", "lib/dispatch/stream_lifecycle.cc",
     "if (prompt_sends_ > 0) ++counted_sends_;", "++counted_sends_;", "dispatch"),
    ("memory is not counted", "lib/dispatch/stream_scheduler.cc",
     "if (filled > fill && use.requests > 0) continue;",
     "if (filled > 100 * fill && use.requests > 0) continue;", "dispatch"),
    ("draining servers get new work", "lib/dispatch/backend_table.cc",
     "if (backend.record.service != service || backend.IsLeaving()) continue;\n"
     "    if (backend.pause_ends_at > now",
     "if (backend.record.service != service || backend.announced_leaving) continue;\n"
     "    if (backend.pause_ends_at > now", "dispatch"),
    ("lapsed servers stay", "lib/dispatch/backend_table.cc",
     "if (it.second.removal_due && *it.second.removal_due <= now) {",
     "if (it.second.removal_due && *it.second.removal_due <= now - absl::Hours(1)) {", "dispatch"),
    ("another writer's entry names a server", "platform/store_entries.cc",
     "if (state != \"ready\" && state != \"draining\") throw FieldError(\"state\");", "",
     "platform"),
    ("a restarted server keeps its record", "lib/dispatch/backend_table.cc",
     "if (restarted) {", "if (false) {", "dispatch"),
    ("a front goes back to an old version", "lib/front/store_sync.cc",
     "if (!is_newer) return;", "", "front"),
    ("a forgotten history is not read anew", "lib/front/store_sync.cc",
     "if (status_ == kHistoryGone && step_ == Step::kWatch) {", "if (false) {", "front"),
    ("each front uses the whole retry budget", "lib/dispatch/retry_quota.cc",
     "bounds_.slack / std::max<uint32_t>(1, fronts_)", "bounds_.slack", "dispatch"),
    ("a restart gives a front new slack", "lib/dispatch/retry_quota.cc",
     "if (age >= bounds_.window) return slack * kSlackShare;", "return slack * kSlackShare;",
     "dispatch"),
    ("clients that change fronts count twice", "lib/dispatch/retry_quota.cc",
     "return kRecentShare * recent + kSteadyShare * fewest;",
     "return 0.8 * std::max(recent, fewest);", "dispatch"),
    ("a crashing request is run again", "lib/dispatch/crash_suspects.cc",
     "if (crashes.size() < kQuarantineCrashes) return absl::InfinitePast();",
     "if (crashes.size() <= kQuarantineCrashes) return absl::InfinitePast();", "dispatch"),
    ("ends that several fronts saw are not added up", "lib/dispatch/crash_suspects.cc",
     "if (!entry.crashes.emplace(it.end, at).second) continue;",
     "if (!entry.crashes.empty()) continue;\n    entry.crashes.emplace(it.end, at);",
     "dispatch"),
    ("each copy at an ended server counts", "lib/dispatch/crash_suspects.cc",
     "if (first < it.second && it.second < last) return std::nullopt;",
     "if (first > it.second && it.second > last) return std::nullopt;", "dispatch"),
    ("silent runs never count", "lib/dispatch/crash_suspects.cc",
     "bool is_recent = now - pending.lost <= kEndDetectionTime;",
     "bool is_recent = now < pending.lost;", "dispatch"),
    ("a living server's closed connections count", "lib/dispatch/crash_suspects.cc",
     "last_heard(pending.run.backend) < pending.lost + kInFlightTime",
     "last_heard(pending.run.backend) < absl::InfiniteFuture()", "dispatch"),
    ("a crash suspect that waited is sent", "lib/dispatch/stream_lifecycle.cc",
     "if (left == absl::ZeroDuration()) return false;",
     "if (left >= absl::ZeroDuration()) return false;", "dispatch"),
    ("what was forgotten is heard anew", "lib/dispatch/crash_suspects.cc",
     "    absl::Time at = now - it.age;\n    if (it.age > kMaxAge) continue;",
     "    absl::Time at = now;\n    if (it.age > kMaxAge) continue;", "dispatch"),
    ("a stopping front stays ready", "lib/front/front_daemon.cc",
     "return !shutdown_ && store_.has_table() && store_.has_backends();",
     "return store_.has_table() && store_.has_backends();", "front"),
    ("a stopping front stops at once", "lib/front/front_shutdown.cc",
     "if (relays_.empty() && clients_.open_connections() == 0) loop_.Stop();", "loop_.Stop();",
     "front"),
    ("changed settings are not noticed", "lib/front/front_daemon.cc",
     "if (ReadFile(settings_file_) != settings_text_) ReloadSettings();", "", "front"),
    ("orders go on after a lease ended", "lib/front/stage_keeper.cc",
     "if (now >= lease_ends_) {", "if (false) {", "front"),
    ("an order is given twice", "lib/front/stage_keeper.cc",
     "if (!is_pending) return change;", "if (!is_pending || true) return change;", "front"),
    ("refused while there is room", "lib/dispatch/stream_scheduler.cc",
     "size_t ahead = has_room ? 0 : on_time_.size() + peers_waiting_ + 1;",
     "size_t ahead = on_time_.size() + peers_waiting_ + (has_room ? 1000 : 1000);", "dispatch"),
    ("hopeless streams wait", "lib/dispatch/stream_scheduler.cc",
     "if (now + late_wait + ServiceTime(job) > job.client_deadline) {", "if (false) {", "dispatch"),
    ("a slow reader of the log blocks", "lib/telemetry/decision_log.cc",
     "if (buffer_.size() >= kMaxBuffered) {", "if (false) {", "telemetry"),
    ("leaving is not believed", "lib/dispatch/backend_table.cc",
     "backend->announced_leaving = true;\n  return is_change;", "return is_change;", "dispatch"),
    ("leaving is forgotten with the entry", "lib/dispatch/backend_table.cc",
     "backend.announced_leaving = it->second.leaving;", "", "dispatch"),
    ("a later start inherits its leaving", "lib/dispatch/backend_table.cc",
     "if (it->second.born_unix_ms < backend.record.born_unix_ms) return;", "", "dispatch"),
    ("a server that asked for quiet is called", "lib/dispatch/backend_table.cc",
     "if (backend.pause_ends_at > now || backend.changing_until > now) continue;",
     "if (backend.changing_until > now) continue;", "dispatch"),
    ("a quiet engine gets the decode", "lib/dispatch/stream_lifecycle.cc",
     "decode == nullptr || decode->pause_ends_at > now)", "decode == nullptr)", "dispatch"),
    ("fronts are argued out of sound servers", "lib/dispatch/backend_table.cc",
     "if (!is_known || now - backend->last_alive < kRecentlyAlive) return false;",
     "if (!is_known) return false;", "dispatch"),
    ("one front sets a whole service aside", "lib/dispatch/backend_table.cc",
     "if (is_too_many) return false;", "if (is_too_many && all == 0) return false;", "dispatch"),
    ("a prompt is lost with its engine", "lib/dispatch/stream_lifecycle.cc",
     "return !step.placed_on_suspect && decode->IsSuspect(now);", "return false;",
     "dispatch"),
    ("a kept prompt waits like the others", "lib/dispatch/stream_scheduler.cc",
     "if (HasCachedPrompt(job, now)) {\n    InsertByPriority(with_cached_prompt_",
     "if (false) {\n    InsertByPriority(with_cached_prompt_", "dispatch"),
    ("a body may be endless", "lib/net/http_client.cc",
     "if (body_bytes_ > limit) {", "if (body_bytes_ > limit && limit == 0) {", "net"),
    ("heads before a head may be endless", "lib/net/http_message.cc",
     "if (interim_heads > kMaxInterimHeads) {", "if (interim_heads == 0) {", "net"),
    ("answers to others may be endless", "lib/net/http_client.cc",
     "if (++skipped_ > kMaxSkippedAnswers) {", "if (++skipped_ == 0) {", "net"),
    ("bytes that complete no event are progress", "lib/front/stream_relay.cc",
     "if (events_.events() == before) return;", "if (events_.events() < before) return;",
     "front"),
    ("word of unknown servers is kept without bound", "lib/dispatch/backend_table.cc",
     "if (is_full && is_unknown_server) return nullptr;",
     "if (is_full && is_unknown_server && born == 0) return nullptr;", "dispatch"),
    ("a stop resets what was taken in", "lib/net/http_server.cc",
     "    Accept(socket, Endpoint::From(address));\n  }\n  listener_.reset();",
     "    close(socket);\n  }\n  listener_.reset();", "net"),
    ("a stop closes on unread requests", "lib/net/http_server.cc",
     "OutputBytes() == 0 && !HasUnreadBytes();", "OutputBytes() == 0;", "net"),
    ("a slow reader is cut off", "lib/net/http_server.cc",
     "if (OutputBytes() < output_left_) {", "if (false) {", "net"),
    ("a stop closes what was just taken in", "lib/net/http_server.cc",
     "if (!has_sent_ &&", "if (has_sent_ &&", "net"),
    ("a stop takes what it can't end", "lib/front/front_requests.cc",
     "if (RefuseIfTooLate(admitted)) return;", "", "front"),
    ("a stop goes by what others took", "lib/dispatch/shutdown_plan.cc",
     "now < listen_until_ ? needed.expected : needed.longest;", "needed.expected;", "dispatch"),
    ("a stop cuts what waits", "lib/front/front_shutdown.cc",
     "RefuseLateStreams(now);\n  if", "if", "front"),
    ("what is open at the limit gets no answer", "lib/front/front_shutdown.cc",
     "    EndOpenRequests();\n", "    loop_.Stop();\n", "front"),
    ("each change costs a call", "lib/front/store_sync.cc",
     "retry_.Arm(context_.settings.drain_limit * kBatchingShare);", "Call();", "front"),
    ("silent connections are kept", "lib/net/socket.cc",
     "SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,\n"
     "            static_cast<unsigned>(absl::ToInt64Milliseconds(silence)));", "", "net"),
]


def run(command, **extra):
    return subprocess.run(command, capture_output=True, text=True, check=False, **extra)


def try_one(copy, mutation):
    name, path, text, replacement, program = mutation
    file = os.path.join(copy, path)
    with open(file, encoding="utf-8") as source:
        original = source.read()
    if original.count(text) != 1:
        return f"the text is in {path} {original.count(text)} times"
    with open(file, "w", encoding="utf-8") as target:
        target.write(original.replace(text, replacement))
    try:
        built = run(["ninja", "-C", os.path.join(copy, "build"), f"{program}_test"])
        if built.returncode != 0:
            return "does not build: " + built.stdout[-300:]
        env = dict(os.environ, RC_PARAMS=FUZZ)
        try:
            done = run([os.path.join(copy, "build", "unittests", f"{program}_test")], env=env,
                       timeout=600)
        except subprocess.TimeoutExpired:
            return ""  # shrinking a failing case takes long; a pass does not
        return "" if done.returncode != 0 else "not noticed"
    finally:
        with open(file, "w", encoding="utf-8") as target:
            target.write(original)


def main():
    wanted = sys.argv[1:]
    copy = tempfile.mkdtemp(prefix="chervilwick-mutations-")
    for it in ("CMakeLists.txt", "include", "lib", "tools", "unittests", "docs", "platform",
               "deploy"):
        source = os.path.join(ROOT, it)
        target = os.path.join(copy, it)
        (shutil.copytree if os.path.isdir(source) else shutil.copy)(source, target)
    configured = run(["cmake", "-S", copy, "-B", os.path.join(copy, "build"), "-G", "Ninja",
                      "-DCMAKE_CXX_COMPILER_LAUNCHER=ccache"])
    if configured.returncode != 0:
        sys.exit(configured.stderr)
    failed = 0
    for mutation in MUTATIONS:
        if wanted and mutation[0] not in wanted:
            continue
        problem = try_one(copy, mutation)
        print(f"mutation: {mutation[0]}: {problem or 'noticed by ' + mutation[4]}", flush=True)
        failed += bool(problem)
    shutil.rmtree(copy)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
