#include "servers/marks/health_monitor.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "core/fleet/watcher_election.h"
#include "core/placement/saturation.h"
#include "drivers/clock.h"
#include "drivers/fiber_stream.h"
#include "drivers/log.h"

namespace knapweedlift {
namespace {

using boost::fibers::fiber;

// Keeps a suspicion notice within one datagram.
constexpr size_t kMaxMarksPerNotice = 64;
// Bounds the checks in progress: when a network partition begins, all servers
// of other failure domains stop answering at once.
constexpr size_t kMaxConcurrentChecks = 32;
// VMs that check a server because of another VM's report delay their checks at
// random: by up to one step, and one more for every kPeersPerJitterStep peers
// in the failure domain. Simultaneous checks would overflow the accept queue of
// a server that is in fact alive.
constexpr Duration kCheckJitterStep{100};
constexpr size_t kPeersPerJitterStep = 16;

std::string ServerNameOf(const MarkView& view, Mark mark) {
  const ServerIndex index = FindServerByMark(view, mark);
  return index < view.servers.size() ? view.servers[index].fact.name : "";
}

CheckOutcome OutcomeOf(ConnectResult result) {
  switch (result) {
    case ConnectResult::kConnected:
      return CheckOutcome::kPassed;
    case ConnectResult::kRefused:
      return CheckOutcome::kRefused;
    case ConnectResult::kUnanswered:
      break;
  }
  return CheckOutcome::kTimedOut;
}

}  // namespace

HealthMonitor::HealthMonitor(Reactor& reactor, FleetMessenger& messenger,
                             SharedMarkView& view, MarkedFlowTable& flows,
                             MarkForwarder& forwarder,
                             const AddressReuse& reuse,
                             ChangeCallback on_change)
    : reactor_(reactor),
      messenger_(messenger),
      view_(view),
      flows_(flows),
      forwarder_(forwarder),
      on_change_(std::move(on_change)) {
  table_.reuse = reuse;
  random_.seed(std::random_device{}());
  report_delay_ = Duration(random_() % kMaxSuspicionDelay.count());
}

void HealthMonitor::Tick(TimePoint now) {
  DetectSilentServers(now);
  const size_t free_checks =
      kMaxConcurrentChecks - std::min(kMaxConcurrentChecks, active_checks_);
  for (const Mark mark : TakeDueChecks(table_, free_checks, now)) {
    if (IsListedOrHeld(mark)) StartCheck(mark, Duration(0));
  }
  SettleDoubts();
  if (ExpireSuspicions(table_, now)) on_change_(Urgency::kDeferred);
  TerminateFlowsOfSuspects(now);
  ReportSuspects(now);
}

void HealthMonitor::RemoveUnknownServers() {
  const MarkViewPtr view = view_.view();
  if (view == nullptr) return;
  RetainServers(table_,
                [&view](Mark mark) { return view->by_mark.contains(mark); });
}

void HealthMonitor::HandleSuspicions(const std::vector<Mark>& marks,
                                     TimePoint now) {
  std::vector<Mark> to_check;
  bool changed = false;
  for (const Mark mark : marks) {
    changed |= !IsSuspect(table_, mark, now);
    if (RecordPeerSuspicion(table_, mark, now)) to_check.push_back(mark);
  }
  if (changed) on_change_(Urgency::kDeferred);
  if (to_check.empty()) return;
  const auto traffic = flows_.Traffic();
  const Duration jitter =
      kCheckJitterStep *
      (1 + CountLivePeers(messenger_.state(), now) / kPeersPerJitterStep);
  for (const Mark mark : to_check) {
    // A VM without flows on the server relies on the report alone.
    if (!traffic.contains(mark)) continue;
    StartCheck(mark, Duration(random_() % jitter.count()));
  }
}

void HealthMonitor::HandlePeerAnswers(const std::vector<Mark>& marks,
                                      TimePoint answered_at, TimePoint now) {
  bool recovered = false;
  for (const Mark mark : marks) {
    recovered |= RecordPeerAnswer(table_, mark, answered_at, now);
  }
  if (recovered) on_change_(Urgency::kDeferred);
}

void HealthMonitor::DetectSilentServers(TimePoint now) {
  std::vector<Mark> recovered;
  TimePoint answered_at = now;
  const auto traffic_by_mark = flows_.Traffic();
  for (const auto& [mark, traffic] : traffic_by_mark) {
    if (RecordServerResponse(table_, mark, traffic.last_answer)) {
      recovered.push_back(mark);
      answered_at = std::min(answered_at, traffic.last_answer);
    }
    if (traffic.silent_since == TimePoint::max()) continue;
    if (now - traffic.silent_since < kMinSilence) continue;
    const Duration mean_wait(static_cast<int64_t>(traffic.mean_wait_ms));
    if (RecordSilence(table_, mark, traffic.silent_since, mean_wait, now,
                      MinSilence(mark, traffic_by_mark, now))) {
      StartCheck(mark, Duration(0));
    }
  }
  if (recovered.empty()) return;
  ReportAnswers(recovered, answered_at);
  on_change_(Urgency::kDeferred);
}

Duration HealthMonitor::MinSilence(
    Mark mark, const absl::flat_hash_map<Mark, ServerTraffic>& traffic,
    TimePoint now) const {
  const MarkViewPtr view = view_.view();
  if (view == nullptr) return kMinSilence;
  const ServerIndex index = FindServerByMark(*view, mark);
  const bool saturated =
      index < view->servers.size() &&
      IsServiceSaturated(*view, index, traffic,
                         1 + CountLivePeers(messenger_.state(), now));
  return saturated ? kMinSaturatedSilence : kMinSilence;
}

bool HealthMonitor::IsListedOrHeld(Mark mark) const {
  const MarkViewPtr view = view_.view();
  const ServerIndex index = FindServerByMark(*view, mark);
  if (index >= view->servers.size()) return false;
  return !view->servers[index].unlisted || view->servers[index].removal_held;
}

Listing HealthMonitor::ListingOf(Mark mark) const {
  const MarkViewPtr view = view_.view();
  const ServerIndex index = FindServerByMark(*view, mark);
  const bool replaced =
      index < view->servers.size() && view->servers[index].replaced;
  if (replaced) return Listing::kReplaced;
  return IsListedOrHeld(mark) ? Listing::kListed : Listing::kRemoved;
}

void HealthMonitor::SettleDoubts() {
  for (const Mark mark : SuspectsInDoubt(table_)) {
    if (!SettleDoubt(table_, mark, ListingOf(mark))) continue;
    LogInfo("server_end_confirmed",
            {{"server", ServerNameOf(*view_.view(), mark)}});
    terminated_.erase(mark);
  }
}

void HealthMonitor::StartCheck(Mark mark, Duration delay) {
  // Reports of other VMs may arrive before the first view.
  const MarkViewPtr view = view_.view();
  if (view == nullptr) return;
  const ServerIndex index = FindServerByMark(*view, mark);
  if (index >= view->servers.size() || active_checks_ >= kMaxConcurrentChecks) {
    return;
  }
  ++active_checks_;
  const Endpoint endpoint = view->servers[index].fact.endpoint;
  fiber([this, mark, endpoint, delay] {
    if (delay > Duration(0)) boost::this_fiber::sleep_for(delay);
    const CheckOutcome outcome = RunCheck(mark, endpoint);
    --active_checks_;
    if (!stopping_) HandleOutcome(mark, outcome);
  }).detach();
}

CheckOutcome HealthMonitor::RunCheck(Mark mark, const Endpoint& endpoint) {
  ++check_count_;
  if (!NeedsReferenceCheck(table_, mark)) {
    return OutcomeOf(
        ProbeConnection(reactor_, endpoint, Now() + kFirstCheckTimeout));
  }
  bool reference_passes = false;
  fiber reference([&] { reference_passes = ReferenceCheckPasses(mark); });
  const CheckOutcome outcome =
      OutcomeOf(ProbeConnection(reactor_, endpoint, Now() + kCheckTimeout));
  reference.join();
  const bool unclear = outcome == CheckOutcome::kTimedOut && !reference_passes;
  return unclear ? CheckOutcome::kInconclusive : outcome;
}

bool HealthMonitor::ReferenceCheckPasses(Mark mark) {
  const MarkViewPtr view = view_.view();
  std::vector<Endpoint> local;
  std::vector<Endpoint> remote;
  for (const ServerTarget& server : view->servers) {
    const bool usable =
        server.fact.mark != mark && IsInUse(server) && !server.suspect;
    if (usable) {
      (server.local ? local : remote).push_back(server.fact.endpoint);
    }
  }
  const std::vector<Endpoint>& candidates = local.empty() ? remote : local;
  if (candidates.empty()) return false;
  ++check_count_;
  return ProbeConnection(reactor_, candidates[random_() % candidates.size()],
                         Now() + kCheckTimeout) == ConnectResult::kConnected;
}

void HealthMonitor::HandleOutcome(Mark mark, CheckOutcome outcome) {
  const TimePoint now = Now();
  const MarkViewPtr view = view_.view();
  const ServerIndex index = FindServerByMark(*view, mark);
  if (index >= view->servers.size()) return;
  const ServerTarget& server = view->servers[index];
  const bool fresh = FactsAreFresh(messenger_.state(), now);
  // An answer at the address of a replaced server comes from its successor.
  if (server.replaced) outcome = CheckOutcome::kRefused;
  const bool may_still_serve = !server.unlisted || server.removal_held;
  const CheckedServer checked{
      .may_be_draining = !server.replaced &&
                         (!fresh || (server.fact.draining && may_still_serve)),
      .listed = fresh && IsListedAsAlive(*view, server, now),
      .may_be_full =
          IsServiceSaturated(*view, index, flows_.Traffic(),
                             1 + CountLivePeers(messenger_.state(), now))};
  const bool was_suspect = IsSuspect(table_, mark, now);
  RecordLastAnswer(mark);
  const bool could_terminate = IsConfirmedDown(table_, mark, now);
  const HealthVerdict result = RecordCheck(table_, mark, outcome, checked, now);
  if (result == HealthVerdict::kCheckAgain) StartCheck(mark, Duration(0));
  const bool is_suspect = IsSuspect(table_, mark, now);
  const bool changed = is_suspect != was_suspect ||
                       could_terminate != IsConfirmedDown(table_, mark, now);
  if (!changed) return;
  LogInfo(
      is_suspect ? "server_suspect" : "server_answers_again",
      {{"server", server.fact.name},
       {"service", server.fact.service},
       {"address", FormatEndpoint(server.fact.endpoint)},
       {"passed", outcome == CheckOutcome::kPassed},
       {"refused", outcome == CheckOutcome::kRefused},
       {"may_be_full", checked.may_be_full},
       {"flows_continue", is_suspect && !IsConfirmedDown(table_, mark, now)}});
  terminated_.erase(mark);
  if (!TerminateFlowsOfSuspects(now)) on_change_(Urgency::kImmediate);
  ReportSuspects(now);
}

void HealthMonitor::RecordLastAnswer(Mark mark) {
  const auto traffic = flows_.Traffic();
  const auto found = traffic.find(mark);
  if (found == traffic.end()) return;
  const TimePoint answered_at = found->second.last_answer;
  if (RecordServerResponse(table_, mark, answered_at)) {
    ReportAnswers({mark}, answered_at);
  }
}

void HealthMonitor::ReportAnswers(const std::vector<Mark>& marks,
                                  TimePoint answered_at) {
  for (size_t i = 0; i < marks.size(); i += kMaxMarksPerNotice) {
    const size_t end = std::min(marks.size(), i + kMaxMarksPerNotice);
    messenger_.SendAnswers({marks.begin() + i, marks.begin() + end},
                           answered_at);
  }
}

void HealthMonitor::ReportSuspects(TimePoint now) {
  std::vector<Mark> suspects;
  for (const Mark mark : SuspectsToReport(table_, report_delay_, now)) {
    // No VM sends new flows to a removed server, so no report is needed.
    if (!IsListedOrHeld(mark)) continue;
    // The VM's own report defers the next one, as a peer's report does.
    RecordOwnSuspicion(table_, mark, now);
    suspects.push_back(mark);
    if (suspects.size() < kMaxMarksPerNotice) continue;
    messenger_.SendSuspicions(std::exchange(suspects, {}));
  }
  if (!suspects.empty()) messenger_.SendSuspicions(suspects);
}

bool HealthMonitor::TerminateFlowsOfSuspects(TimePoint now) {
  const MarkViewPtr view = view_.view();
  std::vector<Mark> to_terminate;
  for (const auto& [mark, health] : table_.servers) {
    // Flows with the mark of a previous incarnation may be those of the
    // restarted server, which the suspicion does not concern.
    const bool restarted = view != nullptr && view->successors.contains(mark);
    const bool should_terminate = !restarted &&
                                  IsConfirmedDown(table_, mark, now) &&
                                  terminated_.insert(mark).second;
    if (should_terminate) to_terminate.push_back(mark);
  }
  if (to_terminate.empty()) return false;
  on_change_(Urgency::kImmediate);
  for (const Mark mark : to_terminate) {
    LogInfo("server_down", {{"server", ServerNameOf(*view_.view(), mark)}});
    forwarder_.MoveOrResetFlows(*view_.view(), mark, now);
  }
  return true;
}

}  // namespace knapweedlift
