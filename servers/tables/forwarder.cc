#include "servers/tables/forwarder.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "core/packet/geneve.h"
#include "core/packet/inner_packet.h"
#include "drivers/clock.h"

namespace knapweedlift {
namespace {

// One in this many packets is timed.
constexpr uint64_t kTimingSampleInterval = 64;
// Limit of records that one worker adds to the event history.
constexpr int kMaxEventsPerSecond = 20;

// Decides and forwards the packets of one worker.
class GeneveDatagramHandler : public DatagramHandler {
 public:
  GeneveDatagramHandler(uint64_t hash_key, SharedView& view, FlowTable& flows,
                        FlowAssignmentQueue& pending_assignments,
                        EventHistory& history, MetricsShard& metrics)
      : hash_key_(hash_key),
        shared_view_(view),
        flows_(flows),
        pending_assignments_(pending_assignments),
        history_(history),
        metrics_(metrics) {}

  void BeginBatch(TimePoint now) override {
    decision_time_ = {.now = now, .fresh = now < shared_view_.fresh_until()};
    if (view_ != nullptr && shared_view_.version() == version_) return;
    version_ = shared_view_.version();
    view_ = shared_view_.view();
  }

  bool Handle(std::span<uint8_t> datagram, SendBatch& batch) override {
    const GeneveParseResult outer = ParseGeneve(datagram);
    if (!outer.packet.has_value()) {
      metrics_.Count(outer.error);
      return true;
    }
    const bool from_ingress = !outer.packet->relay_option.has_value();
    const InnerPacketParseResult inner =
        ParseInnerPacket(outer.packet->protocol, outer.packet->payload);
    if (!inner.metadata.has_value()) {
      metrics_.Count(inner.error);
      return from_ingress;
    }
    if (view_ == nullptr || view_->sheet == nullptr) {
      metrics_.Count(ResultCode::kDropViewStale);
      return from_ingress;
    }
    HandlePacket(*outer.packet, *inner.metadata, decision_time_, batch);
    return from_ingress;
  }

 private:
  void HandlePacket(const GenevePacket& packet, const PacketMetadata& metadata,
                    const DecisionTime& decision_time, SendBatch& batch) {
    const bool sampled = ++packets_ % kTimingSampleInterval == 0;
    const int64_t started_ns = sampled ? NowNanoseconds() : 0;
    const uint64_t fingerprint = Fingerprint(metadata.key, hash_key_);
    FlowTable::Shard& shard = flows_.ShardOf(fingerprint);
    Decision decision;
    {
      absl::MutexLock lock(&shard.mutex);
      decision = DecidePacket(*view_, shard.flows, metadata, fingerprint,
                              packet.relay_option, decision_time);
    }
    metrics_.Count(decision.reason);
    if (sampled && decision.service != nullptr) {
      RecordTiming(*decision.service, packet, NowNanoseconds() - started_ns);
    }
    CountNewFlow(decision, metadata);
    QueueFlowAssignments(decision, fingerprint);
    RecordEvent(decision, metadata, decision_time);
    QueuePacket(decision, packet, batch);
  }

  void RecordTiming(const ServiceView& service, const GenevePacket& packet,
                    int64_t nanoseconds) {
    const auto size = static_cast<double>(packet.payload.size());
    metrics_.UpdateHistograms(
        service.service->number, [&](ServiceHistograms& histograms) {
          histograms.decision_ns.Add(static_cast<double>(nanoseconds));
          histograms.packet_bytes.Add(size);
        });
  }

  void CountNewFlow(const Decision& decision, const PacketMetadata& metadata) {
    const bool is_new_flow = decision.verdict == Verdict::kForward &&
                             metadata.bare_syn &&
                             decision.reason != ResultCode::kForwardedKnownFlow;
    if (!is_new_flow) return;
    metrics_.UpdateHistograms(
        decision.service->service->number,
        [](ServiceHistograms& histograms) { ++histograms.new_flows; });
  }

  void QueueFlowAssignments(const Decision& decision, uint64_t fingerprint) {
    if (decision.verdict != Verdict::kForward) return;
    for (const VmId vm : {decision.notify_first, decision.notify_second}) {
      if (vm == kNoVm) continue;
      pending_assignments_.Push(
          {.recipient = vm,
           .service = decision.service->service->number,
           .fingerprint = fingerprint,
           .server = decision.server,
           .opening = decision.notify_state == FlowState::kOpening});
    }
  }

  void RecordEvent(const Decision& decision, const PacketMetadata& metadata,
                   const DecisionTime& decision_time) {
    const bool skip = decision.reason == ResultCode::kForwardedKnownFlow ||
                      decision.service == nullptr;
    if (skip) return;
    if (decision_time.now >= event_refill_at_) {
      event_refill_at_ = decision_time.now + std::chrono::seconds(1);
      events_left_ = kMaxEventsPerSecond;
    }
    if (events_left_ == 0) return;
    --events_left_;
    const Endpoint caller{.address = metadata.key.source,
                          .port = metadata.key.source_port};
    history_.Add(
        {.time = WallClockText(),
         .service = decision.service->service->number,
         .server = decision.server,
         .code = static_cast<uint16_t>(decision.reason),
         .message = absl::StrCat("caller ", FormatEndpoint(caller), ": ",
                                 ResultCodeName(decision.reason))});
  }

  void QueuePacket(const Decision& decision, const GenevePacket& packet,
                   SendBatch& batch) {
    if (decision.verdict == Verdict::kDrop) return;
    const bool forward = decision.verdict == Verdict::kForward;
    const Service& service = *decision.service->service;
    const Endpoint* destination = nullptr;
    if (forward) {
      destination = &FindServer(service, decision.server)->geneve_endpoint;
    } else {
      const auto found = view_->data_endpoints.find(decision.peer);
      if (found == view_->data_endpoints.end()) return;
      destination = &found->second;
    }
    const std::optional<RelayOption> relay_option =
        forward ? std::nullopt : std::optional(decision.relay_option);
    const size_t header_size = WriteGeneveHeader(
        service.vni, packet.protocol, relay_option, batch.NextHeader());
    batch.Add(ToSocketAddress(*destination), header_size, packet.payload);
  }

  uint64_t hash_key_;
  SharedView& shared_view_;
  FlowTable& flows_;
  FlowAssignmentQueue& pending_assignments_;
  EventHistory& history_;
  MetricsShard& metrics_;
  DecisionTime decision_time_;
  ViewPtr view_;
  uint64_t version_ = 0;
  uint64_t packets_ = 0;
  TimePoint event_refill_at_;
  int events_left_ = 0;
};

}  // namespace

void SharedView::Publish(ViewPtr view) {
  absl::MutexLock lock(&mutex_);
  view_ = std::move(view);
  ++version_;
}

void SharedView::SetFreshUntil(TimePoint deadline) {
  fresh_until_ = deadline.time_since_epoch().count();
}

ViewPtr SharedView::view() {
  absl::MutexLock lock(&mutex_);
  return view_;
}

TimePoint SharedView::fresh_until() const {
  return TimePoint(Duration(fresh_until_.load(std::memory_order_relaxed)));
}

void FlowAssignmentQueue::Push(const PendingFlowAssignment& assignment) {
  absl::MutexLock lock(&mutex_);
  if (assignments_.size() < kMaxPendingAssignments) {
    assignments_.push_back(assignment);
  }
}

std::vector<PendingFlowAssignment> FlowAssignmentQueue::TakeAll() {
  absl::MutexLock lock(&mutex_);
  return std::exchange(assignments_, {});
}

Forwarder::Forwarder(const ForwarderSettings& settings, SharedView& view,
                     FlowTable& flows, FlowAssignmentQueue& pending_assignments,
                     EventHistory& history)
    : settings_(settings),
      view_(view),
      flows_(flows),
      pending_assignments_(pending_assignments),
      history_(history),
      workers_(settings.data, settings.workers, kMaxGeneveDatagramBytes) {
  for (size_t i = 0; i < settings.workers; ++i) {
    metrics_.push_back(std::make_unique<MetricsShard>());
  }
}

absl::Status Forwarder::Start() {
  absl::Status status = workers_.Open();
  if (!status.ok()) return status;
  workers_.Start([this](size_t worker) {
    return std::make_unique<GeneveDatagramHandler>(settings_.hash_key, view_,
                                                   flows_, pending_assignments_,
                                                   history_, *metrics_[worker]);
  });
  return absl::OkStatus();
}

bool Forwarder::IsIdleFor(Duration idle_time, TimePoint now) const {
  return now - workers_.last_ingress_packet_at() >= idle_time;
}

}  // namespace knapweedlift
