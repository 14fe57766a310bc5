#include "servers/marks/mark_daemon.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "drivers/clock.h"
#include "drivers/log.h"
#include "servers/marks/mark_admin.h"
#include "servers/marks/view_diff.h"

namespace knapweedlift {
namespace {

using boost::fibers::fiber;

constexpr Duration kTickPeriod{100};
// Well below kMinSilence, to which it adds in the worst case.
constexpr Duration kHealthPeriod{40};
constexpr Duration kExpirePeriod{1'000};
// Building a view costs time for each server and route, so this bounds the load
// during a burst of changes.
constexpr Duration kMinPublishInterval{20};
// Routers take a VM out of rotation after two failed probes 500 ms apart; this
// leaves time for a third probe.
constexpr Duration kRouterRemovalTime{1'500};
// After this long without a packet, the routers have taken the VM out of
// rotation.
constexpr Duration kIdleTime{500};
constexpr size_t kFlowShards = 16;
constexpr unsigned kHttpUnavailable = 503;

std::string FormatFlow(const FlowKey& flow) {
  const Endpoint caller{.address = flow.source, .port = flow.source_port};
  const Endpoint service{.address = flow.destination,
                         .port = flow.destination_port};
  return FormatEndpoint(caller) + ">" + FormatEndpoint(service);
}

std::string ServerName(const MarkView& view, Mark mark) {
  const ServerIndex index = FindServerOfFlow(view, mark);
  return index < view.servers.size() ? view.servers[index].fact.name : "";
}

}  // namespace

MarkDaemon::MarkDaemon(const MarkDaemonSettings& settings,
                       const MarkedPacketCodec& codec,
                       const FactSourceFactory& make_source,
                       SettingsReader read_settings)
    : settings_(settings),
      read_settings_(std::move(read_settings)),
      messenger_(reactor_, registry_),
      source_(make_source(reactor_, settings.platform)),
      watcher_(*source_, messenger_, registry_, settings.entry_times,
               [this] { HandleChangedFacts(); }),
      admission_(settings.admission),
      flows_(kFlowShards, settings.max_flows),
      log_(settings.flow_log_lines_per_second),
      forwarder_({.data = settings.data,
                  .workers = settings.workers,
                  .hash_key = settings.hash_key},
                 {.codec = codec,
                  .view = view_,
                  .flows = flows_,
                  .log = log_,
                  .hold_copy =
                      [this](HeldCopy copy) {
                        return copies_.Hold(std::move(copy));
                      }}),
      copies_(messenger_, flows_, forwarder_),
      health_(reactor_, messenger_, view_, flows_, forwarder_,
              settings.address_reuse, [this](HealthMonitor::Urgency urgency) {
                urgency == HealthMonitor::Urgency::kImmediate
                    ? PublishView()
                    : SchedulePublish();
              }) {}

absl::Status MarkDaemon::Open() {
  registry_.max_listing_time = settings_.address_reuse.max_listing_delay;
  registry_.reregistration_time = settings_.entry_times.reregistration_time;
  SetLogRateLimit(settings_.event_log_lines_per_second);
  absl::Status status = messenger_.Open(settings_.deployment, settings_.control,
                                        settings_.domain, settings_.seeds);
  if (!status.ok()) return status;
  auto ready = ListenTcp(settings_.ready);
  if (!ready.ok()) return ready.status();
  ready_listener_ = *std::move(ready);
  auto admin = ListenTcp(settings_.admin);
  if (!admin.ok()) return admin.status();
  admin_listener_ = *std::move(admin);
  return forwarder_.Start();
}

void MarkDaemon::Run() {
  const MarkAdminContext admin_context{.name = settings_.name,
                                       .hash_key = settings_.hash_key,
                                       .registry = registry_,
                                       .messenger = messenger_,
                                       .watcher = watcher_,
                                       .health = health_,
                                       .copies = copies_,
                                       .forwarder = forwarder_,
                                       .memory = memory_,
                                       .admission = admission_,
                                       .suppressed_lines = suppressed_lines_,
                                       .dropped_lines = dropped_lines_,
                                       .publish_delay_ms = publish_delay_ms_,
                                       .views_published = views_published_,
                                       .eras_begun = eras_begun_,
                                       .view = view_,
                                       .flows = flows_};
  const auto handle_update = [this](const FleetMessageResult& update) {
    HandleFleetUpdate(update);
  };
  std::vector<fiber> fibers;
  // Started first, so that the initial read of the platform precedes all else.
  fibers.emplace_back([this] { watcher_.Run(); });
  fibers.emplace_back([this] { RunPeriodicTasks(); });
  fibers.emplace_back([this] { RunHealthChecks(); });
  fibers.emplace_back([this] { copies_.Run(); });
  fibers.emplace_back([&] { messenger_.ReceiveDatagrams(handle_update); });
  fibers.emplace_back([&] { messenger_.ReceiveStreams(handle_update); });
  fibers.emplace_back([this] {
    ServeHttp(reactor_, ready_listener_,
              [this](const HttpRequest&) { return ReadinessResponse(); });
  });
  fibers.emplace_back([&] {
    ServeHttp(reactor_, admin_listener_,
              [&admin_context](const HttpRequest& request) {
                return HandleMarkAdminRequest(admin_context, request);
              });
  });
  for (fiber& running : fibers) running.join();
  while (HasDetachedFibers()) boost::this_fiber::sleep_for(Duration(1));
  forwarder_.Stop();
  LogDecisions();
  LogInfo("daemon_stopped", {{"vm", settings_.name}});
}

bool MarkDaemon::HasDetachedFibers() const {
  return !health_.idle() || !watcher_.idle() || publish_scheduled_;
}

void MarkDaemon::RunPeriodicTasks() {
  // Logged while the initial read of the platform is in progress.
  LogInfo("daemon_started", {{"vm", settings_.name},
                             {"data", FormatEndpoint(data_endpoint())},
                             {"admin", FormatEndpoint(admin_endpoint())}});
  while (!stopping_) {
    const TimePoint now = Now();
    UpdateShutdown(now);
    HandleReloadRequest();
    UpdateLoads(now);
    messenger_.Tick(now);
    if (ApplyDeferredChanges(registry_, now)) HandleChangedFacts();
    UpdateColdServers(now);
    view_.SetConfirmedAt(messenger_.state().confirmed_at);
    if (now >= view_valid_until_) PublishView();
    if (watcher_.ShouldRun(now)) fiber([this] { watcher_.Run(); }).detach();
    if (now >= next_expire_at_) ExpireFlows(now);
    WriteQueuedLogLines();
    boost::this_fiber::sleep_for(kTickPeriod);
  }
  watcher_.Stop();
  health_.Stop();
  copies_.Stop();
  reactor_.Stop();
}

void MarkDaemon::RunHealthChecks() {
  while (!stopping_) {
    boost::this_fiber::sleep_for(kHealthPeriod);
    copies_.Tick(Now());
    health_.Tick(Now());
  }
}

void MarkDaemon::HandleFleetUpdate(const FleetMessageResult& update) {
  if (update.facts_changed) HandleChangedFacts();
  if (update.facts_differ) {
    LogWarning("facts_differ",
               {{"vm", settings_.name},
                {"revision", registry_.as_of.number},
                {"era", registry_.as_of.era},
                {"action",
                 "None: this VM reads the platform's facts anew. If the line "
                 "repeats, report it with the logs of the fleet."}});
  }
  health_.HandleSuspicions(update.suspect_marks, Now());
  health_.HandlePeerAnswers(update.answering_marks, update.answered_at, Now());
  if (update.opening_reply.has_value()) {
    copies_.HandleReply(*update.opening_reply, Now());
  }
}

void MarkDaemon::HandleChangedFacts() {
  oldest_unpublished_fact_at_ = std::min(oldest_unpublished_fact_at_, Now());
  LogNewEra();
  SchedulePublish();
}

void MarkDaemon::LogNewEra() {
  const Revision before = std::exchange(last_logged_revision_, registry_.as_of);
  if (before == 0 || before.era == registry_.as_of.era) return;
  ++eras_begun_;
  LogInfo("era_began",
          {{"vm", settings_.name},
           {"era", registry_.as_of.era},
           {"revision", registry_.as_of.number},
           {"era_before", before.era},
           {"revision_before", before.number},
           {"watching", messenger_.state().watching},
           {"deferred", registry_.deferred_servers.size() +
                            registry_.deferred_evacuations.size()}});
}

void MarkDaemon::SchedulePublish() {
  const Duration age = Now() - view_published_at_;
  if (age >= kMinPublishInterval) {
    PublishView();
    return;
  }
  if (std::exchange(publish_scheduled_, true)) return;
  fiber([this, wait = kMinPublishInterval - age] {
    boost::this_fiber::sleep_for(wait);
    publish_scheduled_ = false;
    if (!stopping_) PublishView();
  }).detach();
}

void MarkDaemon::PublishView() {
  // A view without facts, or without a configuration, would reject every flow.
  if (registry_.as_of == 0 || registry_.limits.revision == 0) return;
  view_published_at_ = Now();
  ++views_published_;
  view_.SetConfirmedAt(messenger_.state().confirmed_at);
  const auto view = std::make_shared<const MarkView>(BuildMarkView(
      registry_, health_.table(), settings_.domain, Now(), memory_));
  view_valid_until_ = view->valid_until;
  const MarkViewPtr before = view_.view();
  view_.Publish(view);
  if (oldest_unpublished_fact_at_ != TimePoint::max()) {
    publish_delay_ms_.Add(
        static_cast<double>((Now() - oldest_unpublished_fact_at_).count()));
    oldest_unpublished_fact_at_ = TimePoint::max();
    LogInfo("facts_changed", DescribeViewChange(before.get(), *view));
    for (const std::string& domain :
         UnknownEvacuatedDomains(before.get(), *view)) {
      LogWarning("evacuated_domain_unknown",
                 {{"domain", domain},
                  {"action",
                   "Check the name: no listed server is in this failure "
                   "domain."}});
    }
  }
  if (!serving_) StartServing();
}

void MarkDaemon::StartServing() {
  serving_ = true;
  messenger_.EnterPhase(MemberPhase::kServing);
  LogInfo("daemon_serving", {{"vm", settings_.name},
                             {"revision", registry_.as_of.number},
                             {"era", registry_.as_of.era}});
}

void MarkDaemon::UpdateLoads(TimePoint now) {
  const MarkViewPtr view = view_.view();
  if (view == nullptr) return;
  FleetState& fleet = messenger_.state();
  fleet.own_loads.clear();
  const auto traffic_by_mark = flows_.Traffic();
  const auto waits = flows_.TakeResponseWaits();
  for (const auto& [mark, traffic] : traffic_by_mark) {
    fleet.own_loads.push_back(
        {.mark = mark, .flows = traffic.flows, .waiting = traffic.waiting});
  }
  const size_t peers = CountLivePeers(fleet, now);
  fleet.domain_loads = UpdateLoadEstimate(
      load_estimate_, *view, fleet.own_loads, fleet.loads, peers, now);
  admission_.Update(*view, fleet, memory_.service_names, now);
  if (!settings_.avoid_slow_servers) return;
  server_speeds_.seed = fleet.self.id;
  const SpeedObservations observed{.waits = waits,
                                   .traffic = traffic_by_mark,
                                   .reports = fleet.loads,
                                   .peers = peers};
  fleet.load_report_due |=
      UpdateServerSpeeds(server_speeds_, *view, observed, now);
  AddReportedWaits(server_speeds_, fleet.reported_loads, now, fleet.own_loads);
}

void MarkDaemon::UpdateColdServers(TimePoint now) {
  const FleetState& fleet = messenger_.state();
  RefreshColdElection(cold_election_, ColdMembershipOf(fleet, now), now);
  const MarkViewPtr view = view_.view();
  if (view == nullptr) return;
  UpdateColdClaims(cold_election_, fleet.self.id, settings_.cold_limit, *view,
                   now);
}

void MarkDaemon::ExpireFlows(TimePoint now) {
  next_expire_at_ = now + kExpirePeriod;
  for (size_t i = 0; i < flows_.shard_count(); ++i) {
    MarkedFlowTable::Shard& shard = flows_.shard(i);
    absl::MutexLock lock(&shard.mutex);
    ExpireMarkedFlows(shard.map, registry_.limits.limits.idle_timeout, now);
  }
  health_.RemoveUnknownServers();
  LogDecisions();
}

void MarkDaemon::UpdateShutdown(TimePoint now) {
  if (stop_requests_ == 0) return;
  if (shutdown_started_at_ == TimePoint::max()) {
    shutdown_started_at_ = now;
    LogInfo("daemon_leaving", {{"vm", settings_.name}});
    messenger_.EnterPhase(MemberPhase::kLeaving);
    messenger_.SetWatching(false);
  }
  const Duration elapsed = now - shutdown_started_at_;
  const bool idle = elapsed >= kRouterRemovalTime &&
                    now - forwarder_.last_ingress_packet_at() >= kIdleTime;
  stopping_ = idle || stop_requests_ > 1 || elapsed >= settings_.drain_timeout;
}

void MarkDaemon::HandleReloadRequest() {
  if (reload_requests_.exchange(0) == 0) return;
  const auto settings = read_settings_();
  if (!settings.has_value()) {
    LogWarning("settings_rejected",
               {{"vm", settings_.name},
                {"action",
                 "Correct the settings file; the previous settings "
                 "remain in force."}});
    return;
  }
  messenger_.state().seeds = settings->seeds;
  settings_.drain_timeout = settings->drain_timeout;
  LogInfo("settings_reloaded", {{"vm", settings_.name}});
}

void MarkDaemon::LogDecisions() {
  const MarkViewPtr view = view_.view();
  const TimePoint now = Now();
  const DecisionLog::Batch batch = log_.TakeBatch();
  for (const FlowDecision& decision : batch.decisions) {
    LogInfoUnlimited("flow_decision",
                     {{"reason", std::string(ResultCodeName(decision.reason))},
                      {"code", static_cast<int>(decision.reason)},
                      {"flow", FormatFlow(decision.flow)},
                      {"request", decision.request_id},
                      {"server", ServerName(*view, decision.mark)},
                      {"revision", decision.revision.number},
                      {"era", decision.revision.era},
                      {"facts_age_ms", decision.facts_age.count()},
                      {"decided_ms_ago", (now - decision.decided_at).count()}});
  }
  for (const auto& [reason, count] : batch.suppressed_counts) {
    ReportSuppressedLines("flow_decision", std::string(ResultCodeName(reason)),
                          count);
  }
  for (const auto& [event, count] : TakeSuppressedLineCounts()) {
    ReportSuppressedLines(event.c_str(), event, count);
  }
  for (const auto& [event, count] : TakeDroppedLineCounts()) {
    dropped_lines_[event] += count;
  }
}

void MarkDaemon::ReportSuppressedLines(const char* event,
                                       const std::string& kind,
                                       uint64_t count) {
  suppressed_lines_[kind] += count;
  LogInfoUnlimited("lines_left_out",
                   {{"of", event}, {"kind", kind}, {"count", count}});
}

HttpResponse MarkDaemon::ReadinessResponse() const {
  const bool ready = serving_ && stop_requests_ == 0;
  return {.status = ready ? 200 : kHttpUnavailable,
          .body = ready ? "{}\n" : ""};
}

}  // namespace knapweedlift
