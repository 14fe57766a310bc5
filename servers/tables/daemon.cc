#include "servers/tables/daemon.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/sheet/sheet_parser.h"
#include "core/sheet/vm_list.h"
#include "drivers/clock.h"
#include "drivers/log.h"
#include "drivers/peer_codec.h"

namespace knapweedlift {
namespace {

constexpr size_t kFlowShards = 1'024;
// With one tick every 50 ms, a pass over all shards for expired flows takes
// about 3 s.
constexpr size_t kShardsPerTick = 16;
constexpr Duration kTickPeriod{50};
constexpr Duration kAssignmentNoticePeriod{5};
constexpr Duration kRateSamplePeriod{1'000};
constexpr int kLongPollSeconds = 20;
constexpr Duration kLongPollTimeout{25'000};
constexpr Duration kFetchTimeout{3'000};
constexpr Duration kWatchRecheckPeriod{1'000};
constexpr Duration kInitialBackoff{100};
constexpr Duration kMaxBackoff{5'000};
// Longest time that the daemon keeps forwarding after a second stop request.
constexpr Duration kForcedDrainTimeout{500};

}  // namespace

Daemon::Daemon(const DaemonSettings& settings)
    : settings_(settings),
      flows_(kFlowShards, settings.max_flows),
      forwarder_({.data = settings.self.data,
                  .workers = settings.workers,
                  .hash_key = settings.hash_key},
                 view_, flows_, pending_assignments_, history_),
      control_(InitialControlState(
          settings.self, static_cast<uint64_t>(WallClockMilliseconds()),
          Now())),
      send_queue_(settings.control_bytes_per_second,
                  settings.control_burst_bytes, Now()) {
  control_.tenants = settings.tenants;
}

Daemon::~Daemon() = default;

absl::Status Daemon::Open() {
  auto transport = PeerTransport::Open(reactor_, settings_.self.control);
  if (!transport.ok()) return transport.status();
  transport_ = *std::move(transport);
  auto listener = ListenTcp(settings_.admin);
  if (!listener.ok()) return listener.status();
  admin_listener_ = *std::move(listener);
  return forwarder_.Start();
}

void Daemon::Run() {
  LogInfo("daemon_started", {{"vm", settings_.self.id},
                             {"data", FormatEndpoint(settings_.self.data)},
                             {"admin", FormatEndpoint(admin_endpoint())}});
  const auto receiver = [this](const std::string& bytes) {
    HandlePeerMessage(bytes);
  };
  using boost::fibers::fiber;
  std::vector<fiber> fibers;
  fibers.emplace_back([this] { RunPeriodicTasks(); });
  fibers.emplace_back([this] { RunFlowAssignmentNotices(); });
  fibers.emplace_back([this] { RunSheetWatch(); });
  fibers.emplace_back([this] { RunVmListWatch(); });
  fibers.emplace_back([&] { transport_->ReceiveDatagrams(receiver); });
  fibers.emplace_back([&] { transport_->ReceiveStreams(receiver); });
  fibers.emplace_back([this] {
    ServeHttp(reactor_, admin_listener_, [this](const HttpRequest& request) {
      return HandleAdminRequest(request);
    });
  });
  for (fiber& task : fibers) task.join();
  forwarder_.Stop();
  LogInfo("daemon_stopped", {{"vm", settings_.self.id}});
}

void Daemon::RunPeriodicTasks() {
  while (!stopping_) {
    const TimePoint now = Now();
    RunTick(now);
    UpdateShutdown(now);
    boost::this_fiber::sleep_for(kTickPeriod);
  }
  reactor_.Stop();
}

void Daemon::RunTick(TimePoint now) {
  Outbox out;
  Tick(control_, flows_, now, out);
  QueueMessages(out);
  PublishView(now);
  for (size_t i = 0; i < kShardsPerTick; ++i) ExpireNextShard(now);
  SendQueuedMessages();
  WriteQueuedLogLines();
  if (now >= next_rate_sample_at_) {
    next_rate_sample_at_ = now + kRateSamplePeriod;
    RecordNewFlowRates();
  }
}

void Daemon::UpdateShutdown(TimePoint now) {
  const int requests = stop_requests_;
  if (requests > handled_stop_requests_) {
    const bool first = handled_stop_requests_ == 0;
    handled_stop_requests_ = requests;
    const Duration timeout =
        first ? settings_.drain_timeout : kForcedDrainTimeout;
    shutdown_deadline_ = std::min(shutdown_deadline_, now + timeout);
    if (first) {
      LogInfo("daemon_leaving", {{"vm", settings_.self.id}});
      Outbox out;
      Leave(control_, flows_, now, out);
      QueueMessages(out);
    }
  }
  if (handled_stop_requests_ == 0) return;
  const bool idle = forwarder_.IsIdleFor(settings_.idle_time, now);
  stopping_ = idle || now >= shutdown_deadline_;
}

void Daemon::HandlePeerMessage(const std::string& bytes) {
  received_bytes_ += bytes.size() + kDatagramOverheadBytes;
  const auto message = DecodePeerMessage(bytes);
  if (!message.has_value() || message->deployment != settings_.deployment) {
    ++bad_messages_;
    forwarder_.metrics().front()->Count(ResultCode::kPeerMessage);
    return;
  }
  const TimePoint now = Now();
  Outbox out;
  Receive(control_, message->sender, message->message, flows_, now, out);
  QueueMessages(out);
  PublishView(now);
  SendQueuedMessages();
}

void Daemon::QueueMessages(Outbox& out) {
  const uint64_t discarded = send_queue_.discarded();
  for (Envelope& envelope : out) {
    const Priority priority = PriorityOf(envelope.message);
    send_queue_.Push(
        priority,
        {.to = envelope.to,
         .bytes = EncodePeerMessage({.deployment = settings_.deployment,
                                     .sender = settings_.self.id,
                                     .message = std::move(envelope.message)})});
  }
  out.clear();
  for (uint64_t i = discarded; i < send_queue_.discarded(); ++i) {
    forwarder_.metrics().front()->Count(ResultCode::kPeerBudget);
  }
}

void Daemon::SendQueuedMessages() {
  while (auto message = send_queue_.Pop(Now())) {
    const auto found = control_.members.find(message->to);
    if (found == control_.members.end()) continue;
    const Endpoint& to = found->second.address.control;
    if (to.port != 0) {
      transport_->Send(to, std::make_shared<const std::string>(message->bytes));
    }
  }
}

void Daemon::PublishView(TimePoint now) {
  const bool fresh = IsFresh(control_, now);
  view_.SetFreshUntil(fresh ? control_.fresh_until : TimePoint{});
  if (!control_.view_changed) return;
  control_.view_changed = false;
  view_.Publish(MakeView(control_));
  LogNewGenerations();
  const uint64_t revision =
      control_.sheet == nullptr ? 0 : control_.sheet->revision;
  if (revision == logged_revision_) return;
  logged_revision_ = revision;
  LogInfo("sheet_in_force", {{"vm", settings_.self.id},
                             {"revision", revision},
                             {"services", control_.sheet->services.size()}});
}

void Daemon::LogNewGenerations() {
  for (const auto& [number, control] : control_.services) {
    if (control.table == nullptr) continue;
    const GenerationId& generation = control.table->generation;
    if (logged_generations_[number] == generation) continue;
    logged_generations_[number] = generation;
    const TableSummary summary = Summarize(*control.table);
    history_.Add(
        {.time = WallClockText(),
         .service = number,
         .message = absl::StrCat(
             "generation ", generation.revision, ".", generation.sequence,
             " of maker ", generation.coordinator, ": ", summary.stable,
             " buckets stable, ", summary.pending, " announced, ",
             summary.ambiguous, " ambiguous, ", summary.closing, " closing")});
    LogInfo("generation_in_force", {{"vm", settings_.self.id},
                                    {"service", number},
                                    {"revision", generation.revision},
                                    {"sequence", generation.sequence},
                                    {"maker", generation.coordinator},
                                    {"pending", summary.pending},
                                    {"ambiguous", summary.ambiguous}});
  }
}

void Daemon::ExpireNextShard(TimePoint now) {
  FlowTable::Shard& shard = flows_.shard(next_shard_);
  next_shard_ = (next_shard_ + 1) % flows_.shard_count();
  std::vector<FlowEntry> expired;
  {
    absl::MutexLock lock(&shard.mutex);
    ExpireFlows(shard.flows, now, [&expired](const FlowEntry& entry) {
      expired.push_back(entry);
    });
  }
  if (forwarder_.metrics().empty()) return;
  MetricsShard& metrics = *forwarder_.metrics().front();
  const double ticks_per_second = std::chrono::seconds(1) / kFlowTick;
  for (const FlowEntry& entry : expired) {
    const double age = (FlowTicks(now) - entry.opened) / ticks_per_second;
    metrics.UpdateHistograms(entry.service,
                             [age](ServiceHistograms& histograms) {
                               histograms.flow_age_s.Add(age);
                             });
  }
}

void Daemon::RecordNewFlowRates() {
  if (control_.sheet == nullptr) return;
  for (const Service& service : control_.sheet->services) {
    uint64_t count = 0;
    for (const auto& shard : forwarder_.metrics()) {
      shard->UpdateHistograms(service.number,
                              [&](ServiceHistograms& histograms) {
                                count += std::exchange(histograms.new_flows, 0);
                              });
    }
    if (count == 0) continue;
    forwarder_.metrics().front()->UpdateHistograms(
        service.number, [count](ServiceHistograms& histograms) {
          histograms.new_flows_per_second.Add(static_cast<double>(count));
        });
  }
}

void Daemon::RunFlowAssignmentNotices() {
  while (!stopping_) {
    std::map<std::pair<VmId, ServiceNumber>, std::vector<FlowAssignment>>
        batches;
    for (const PendingFlowAssignment& pending :
         pending_assignments_.TakeAll()) {
      batches[{pending.recipient, pending.service}].push_back(
          {pending.fingerprint, pending.server, pending.opening});
    }
    Outbox out;
    for (auto& [key, assignments] : batches) {
      out.push_back({key.first, FlowAssignmentNotice{
                                    .service = key.second,
                                    .assignments = std::move(assignments)}});
    }
    const bool has_messages = !out.empty();
    QueueMessages(out);
    if (has_messages) SendQueuedMessages();
    boost::this_fiber::sleep_for(kAssignmentNoticePeriod);
  }
}

void Daemon::RunSheetWatch() {
  int failures = 0;
  while (!stopping_) {
    if (!WatchesPlatform(control_, Now())) {
      boost::this_fiber::sleep_for(kWatchRecheckPeriod);
      continue;
    }
    const absl::Status status = FetchSheet();
    if (stopping_) return;
    ReportPlatformStatus("sheet", status);
    failures = status.ok() ? 0 : failures + 1;
    if (failures > 0) SleepBackoff(failures);
  }
}

void Daemon::RunVmListWatch() {
  int failures = 0;
  while (!stopping_) {
    const bool needed = NeedsVmList(control_, Now()) || vm_list_revision_ == 0;
    if (!needed) {
      boost::this_fiber::sleep_for(kWatchRecheckPeriod);
      continue;
    }
    const absl::Status status = FetchVmList();
    failures = status.ok() ? 0 : failures + 1;
    if (failures > 0 && !stopping_) SleepBackoff(failures);
  }
}

absl::Status Daemon::FetchSheet() {
  const uint64_t known_revision =
      control_.sheet == nullptr ? 0 : control_.sheet->revision;
  const std::string target = absl::StrCat("/v1/sheet?after=", known_revision,
                                          "&wait_s=", kLongPollSeconds);
  auto answer = HttpCall(reactor_, settings_.platform,
                         {.method = "GET", .target = target, .body = ""},
                         Now() + kLongPollTimeout);
  if (!answer.ok()) return answer.status();
  constexpr unsigned kHttpOk = 200;
  constexpr unsigned kHttpNoContent = 204;
  if (answer->status == kHttpNoContent) return absl::OkStatus();
  if (answer->status != kHttpOk) {
    return MakeStatus(ResultCode::kPlatformAnswer,
                      absl::StrCat("unexpected HTTP status ", answer->status));
  }
  const auto count = SheetChunkCount(answer->body);
  if (!count.ok()) return count.status();
  std::vector<std::string> chunks = {std::move(answer->body)};
  for (size_t i = 1; i < *count; ++i) {
    auto chunk = HttpCall(reactor_, settings_.platform,
                          {.method = "GET",
                           .target = absl::StrCat("/v1/sheet?chunk=", i),
                           .body = ""},
                          Now() + kFetchTimeout);
    if (!chunk.ok()) return chunk.status();
    chunks.push_back(std::move(chunk->body));
  }
  absl::Status status = ApplySheet(control_, chunks, Now());
  PublishView(Now());
  return status;
}

absl::Status Daemon::FetchVmList() {
  const std::string target = absl::StrCat("/v1/vms?after=", vm_list_revision_,
                                          "&wait_s=", kLongPollSeconds);
  auto answer = HttpCall(reactor_, settings_.platform,
                         {.method = "GET", .target = target, .body = ""},
                         Now() + kLongPollTimeout);
  if (!answer.ok()) return answer.status();
  constexpr unsigned kHttpNoContent = 204;
  if (answer->status == kHttpNoContent) return absl::OkStatus();
  auto list = ParseVmList(answer->body);
  if (!list.ok()) return list.status();
  // A revision that is not newer comes from a stale replica of the platform.
  if (list->revision <= vm_list_revision_) {
    return MakeStatus(
        ResultCode::kPlatformAnswer,
        "the revision of the VM list is not newer than the known one");
  }
  vm_list_revision_ = list->revision;
  ApplyPlatformList(control_, list->vms);
  control_.view_changed = true;
  return absl::OkStatus();
}

void Daemon::ReportPlatformStatus(const char* what,
                                  const absl::Status& status) {
  const std::string status_text =
      status.ok() ? "ok" : std::string(status.message());
  if (status_text == platform_status_) return;
  platform_status_ = status_text;
  if (status.ok()) {
    LogInfo("platform_ok", {{"what", what}});
    return;
  }
  LogWarning("platform_problem",
             {{"what", what},
              {"code", CodeOfStatus(status)},
              {"message", status_text},
              {"action",
               "The last valid sheet remains in force. Correct the sheet or "
               "the platform; no restart is needed."}});
}

void Daemon::SleepBackoff(int failures) {
  constexpr int kMaxDoublings = 6;
  const Duration limit = std::min(
      kMaxBackoff, kInitialBackoff * (1 << std::min(failures, kMaxDoublings)));
  std::uniform_int_distribution<int64_t> jitter(limit.count() / 2,
                                                limit.count());
  const TimePoint until = Now() + Duration(jitter(control_.random));
  while (!stopping_ && Now() < until) {
    boost::this_fiber::sleep_for(kTickPeriod);
  }
}

}  // namespace knapweedlift
