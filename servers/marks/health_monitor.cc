#include "servers/marks/health_monitor.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "core/fleet/watch_duty.h"
#include "drivers/clock.h"
#include "drivers/fiber_stream.h"
#include "drivers/log.h"

namespace knapweedlift {
namespace {

using boost::fibers::fiber;

// Keeps a notice within one datagram.
constexpr size_t kMaxMarksOfNotice = 64;
// At the start of a split all servers of other failure domains fall silent.
constexpr size_t kMaxChecks = 32;
// VMs that check a server on another VM's word spread their checks over this
// time for each so many VMs of the failure domain, so that a living server's
// queue of connections does not overflow.
constexpr Duration kCheckSpread{100};
constexpr size_t kSpreadVms = 16;

CheckOutcome OutcomeOf(ConnectResult result) {
  switch (result) {
    case ConnectResult::kConnected:
      return CheckOutcome::kPassed;
    case ConnectResult::kRefused:
      return CheckOutcome::kRefused;
    case ConnectResult::kUnanswered:
      break;
  }
  return CheckOutcome::kUnanswered;
}

}  // namespace

HealthMonitor::HealthMonitor(Reactor& reactor, FleetMessenger& messenger,
                             SharedMarkView& view, MarkedFlowTable& flows,
                             MarkForwarder& forwarder,
                             const AddressReuse& reuse, ChangeTaker take_change)
    : reactor_(reactor),
      messenger_(messenger),
      view_(view),
      flows_(flows),
      forwarder_(forwarder),
      take_change_(std::move(take_change)) {
  table_.reuse = reuse;
  random_.seed(std::random_device{}());
  report_delay_ = Duration(random_() % kReportSpread.count());
}

void HealthMonitor::Tick(TimePoint now) {
  LookForSilence(now);
  for (const Mark mark : TakeDueChecks(table_, now)) {
    if (MayReturn(mark)) StartCheck(mark, Duration(0));
  }
  if (ExpireReports(table_, now)) take_change_(Urgency::kSoon);
  EndSuspects(now);
  Report(now);
}

void HealthMonitor::ForgetUnknown() {
  const MarkViewPtr view = view_.view();
  if (view == nullptr) return;
  ForgetServers(table_,
                [&view](Mark mark) { return view->by_mark.contains(mark); });
}

void HealthMonitor::TakeSuspicions(const std::vector<Mark>& marks,
                                   TimePoint now) {
  std::vector<Mark> to_check;
  bool changed = false;
  for (const Mark mark : marks) {
    changed |= !IsSuspect(table_, mark, now);
    if (NoteReport(table_, mark, now)) to_check.push_back(mark);
  }
  if (changed) take_change_(Urgency::kSoon);
  if (to_check.empty()) return;
  const auto traffic = flows_.Traffic();
  const Duration window =
      kCheckSpread * (1 + LivePeers(messenger_.state(), now) / kSpreadVms);
  for (const Mark mark : to_check) {
    // Only a VM with flows on the server needs a verdict of its own.
    if (!traffic.contains(mark)) continue;
    StartCheck(mark, Duration(random_() % window.count()));
  }
}

void HealthMonitor::LookForSilence(TimePoint now) {
  bool recovered = false;
  for (const auto& [mark, traffic] : flows_.Traffic()) {
    recovered |= NoteServerAnswer(table_, mark, traffic.last_answer);
    if (traffic.silent_since == TimePoint::max()) continue;
    const Duration usual(static_cast<int64_t>(traffic.mean_wait_ms));
    if (NoteSilence(table_, mark, traffic.silent_since, usual, now)) {
      StartCheck(mark, Duration(0));
    }
  }
  if (recovered) take_change_(Urgency::kSoon);
}

bool HealthMonitor::MayReturn(Mark mark) const {
  const MarkViewPtr view = view_.view();
  const ServerIndex index = ServerOfMark(*view, mark);
  if (index >= view->servers.size()) return false;
  return !view->servers[index].gone || view->servers[index].held;
}

void HealthMonitor::StartCheck(Mark mark, Duration delay) {
  // Other VMs may name suspects before this one knows any server.
  const MarkViewPtr view = view_.view();
  if (view == nullptr) return;
  const ServerIndex index = ServerOfMark(*view, mark);
  if (index >= view->servers.size() || checks_under_way_ >= kMaxChecks) return;
  ++checks_under_way_;
  const Endpoint endpoint = view->servers[index].fact.endpoint;
  fiber([this, mark, endpoint, delay] {
    if (delay > Duration(0)) boost::this_fiber::sleep_for(delay);
    const CheckOutcome outcome = Check(mark, endpoint);
    --checks_under_way_;
    if (!stopping_) TakeCheck(mark, outcome);
  }).detach();
}

CheckOutcome HealthMonitor::Check(Mark mark, const Endpoint& endpoint) {
  ++checks_made_;
  if (!NeedsControl(table_, mark)) {
    return OutcomeOf(
        TryConnection(reactor_, endpoint, Now() + kFirstCheckTimeout));
  }
  bool control_passes = false;
  fiber control([&] { control_passes = ControlPasses(mark); });
  const CheckOutcome outcome =
      OutcomeOf(TryConnection(reactor_, endpoint, Now() + kCheckTimeout));
  control.join();
  const bool unclear = outcome == CheckOutcome::kUnanswered && !control_passes;
  return unclear ? CheckOutcome::kUnclear : outcome;
}

bool HealthMonitor::ControlPasses(Mark mark) {
  const MarkViewPtr view = view_.view();
  std::vector<Endpoint> near;
  std::vector<Endpoint> others;
  for (const ServerTarget& server : view->servers) {
    const bool good =
        server.fact.mark != mark && server.placeable && !server.suspect;
    if (good) (server.local ? near : others).push_back(server.fact.endpoint);
  }
  const std::vector<Endpoint>& from = near.empty() ? others : near;
  if (from.empty()) return false;
  ++checks_made_;
  return TryConnection(reactor_, from[random_() % from.size()],
                       Now() + kCheckTimeout) == ConnectResult::kConnected;
}

void HealthMonitor::TakeCheck(Mark mark, CheckOutcome outcome) {
  const TimePoint now = Now();
  const MarkViewPtr view = view_.view();
  const ServerIndex index = ServerOfMark(*view, mark);
  if (index >= view->servers.size()) return;
  const ServerTarget& server = view->servers[index];
  const bool fresh = FactsAreFresh(messenger_.state(), now);
  // Whoever answers at the address of a replaced server is not that server.
  if (server.replaced) outcome = CheckOutcome::kRefused;
  const bool may_be_there = !server.gone || server.held;
  const CheckedServer checked{
      .may_be_leaving = !server.replaced &&
                        (!fresh || (server.fact.draining && may_be_there)),
      .listed = fresh && !server.gone};
  const bool was_suspect = IsSuspect(table_, mark, now);
  const bool could_end = MayEndFlows(table_, mark);
  const CheckResult result = NoteCheck(table_, mark, outcome, checked, now);
  if (result == CheckResult::kCheckAgain) StartCheck(mark, Duration(0));
  const bool is_suspect = IsSuspect(table_, mark, now);
  const bool changed =
      is_suspect != was_suspect || could_end != MayEndFlows(table_, mark);
  if (!changed) return;
  LogInfo(is_suspect ? "server_suspect" : "server_answers_again",
          {{"server", server.fact.name},
           {"service", server.fact.service},
           {"address", FormatEndpoint(server.fact.endpoint)},
           {"refused", outcome == CheckOutcome::kRefused}});
  ended_.erase(mark);
  if (!EndSuspects(now)) take_change_(Urgency::kNow);
  Report(now);
}

void HealthMonitor::Report(TimePoint now) {
  std::vector<Mark> suspects;
  for (const Mark mark : SuspectsToReport(table_, report_delay_, now)) {
    // No VM sends new flows to a server that is gone anyway.
    if (!MayReturn(mark)) continue;
    // This report counts like one of another VM.
    NoteOwnReport(table_, mark, now);
    suspects.push_back(mark);
    if (suspects.size() < kMaxMarksOfNotice) continue;
    messenger_.SendSuspicions(std::exchange(suspects, {}));
  }
  if (!suspects.empty()) messenger_.SendSuspicions(suspects);
}

bool HealthMonitor::EndSuspects(TimePoint now) {
  std::vector<Mark> ending;
  for (const auto& [mark, health] : table_.servers) {
    const bool ends = MayEndFlows(table_, mark) && ended_.insert(mark).second;
    if (ends) ending.push_back(mark);
  }
  if (ending.empty()) return false;
  take_change_(Urgency::kNow);
  for (const Mark mark : ending) {
    forwarder_.EndFlows(*view_.view(), mark, now);
  }
  return true;
}

}  // namespace knapweedlift
