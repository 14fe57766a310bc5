#include "servers/tables/forwarder.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "core/packet/geneve.h"
#include "core/packet/inner_packet.h"
#include "drivers/clock.h"

namespace knapweedlift {
namespace {

// Decisions are timed once in this many packets.
constexpr uint64_t kTimingPeriod = 64;
// EventHistory entries that a worker adds a second.
constexpr int kMaxEventsPerSecond = 20;

// One worker's decisions.
class GeneveHandler : public DatagramHandler {
 public:
  GeneveHandler(uint64_t hash_key, SharedView& view, FlowTable& flows,
                NoticeQueue& notices, EventHistory& history,
                MetricsShard& metrics)
      : hash_key_(hash_key),
        shared_view_(view),
        flows_(flows),
        notices_(notices),
        history_(history),
        metrics_(metrics) {}

  void BeginBatch(TimePoint now) override {
    moment_ = {.now = now, .fresh = now < shared_view_.fresh_until()};
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
    const bool from_fabric = !outer.packet->relay_option.has_value();
    const InnerPacketParseResult inner =
        ParseInnerPacket(outer.packet->protocol, outer.packet->payload);
    if (!inner.metadata.has_value()) {
      metrics_.Count(inner.error);
      return from_fabric;
    }
    if (view_ == nullptr || view_->sheet == nullptr) {
      metrics_.Count(ResultCode::kDropViewStale);
      return from_fabric;
    }
    HandlePacket(*outer.packet, *inner.metadata, moment_, batch);
    return from_fabric;
  }

 private:
  void HandlePacket(const GenevePacket& packet, const PacketMetadata& meta,
                    const DecisionTime& moment, SendBatch& batch) {
    const bool timed = ++packets_ % kTimingPeriod == 0;
    const int64_t start = timed ? NowNanoseconds() : 0;
    const uint64_t fingerprint = Fingerprint(meta.key, hash_key_);
    FlowTable::Shard& shard = flows_.ShardOf(fingerprint);
    Decision decision;
    {
      absl::MutexLock lock(&shard.mutex);
      decision = DecidePacket(*view_, shard.flows, meta, fingerprint,
                              packet.relay_option, moment);
    }
    metrics_.Count(decision.reason);
    if (timed && decision.service != nullptr) {
      RecordTiming(*decision.service, packet, NowNanoseconds() - start);
    }
    CountNewFlow(decision, meta);
    QueueNotices(decision, fingerprint);
    RecordEvent(decision, meta, moment);
    SendOn(decision, packet, batch);
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

  void CountNewFlow(const Decision& decision, const PacketMetadata& meta) {
    const bool placed = decision.verdict == Verdict::kForward &&
                        meta.bare_syn &&
                        decision.reason != ResultCode::kForwardedKnownFlow;
    if (!placed) return;
    metrics_.UpdateHistograms(
        decision.service->service->number,
        [](ServiceHistograms& histograms) { ++histograms.new_flows; });
  }

  void QueueNotices(const Decision& decision, uint64_t fingerprint) {
    if (decision.verdict != Verdict::kForward) return;
    for (const VmId vm : {decision.notify_first, decision.notify_second}) {
      if (vm == kNoVm) continue;
      notices_.Push({.to = vm,
                     .service = decision.service->service->number,
                     .fingerprint = fingerprint,
                     .server = decision.server,
                     .opening = decision.notify_state == FlowState::kOpening});
    }
  }

  void RecordEvent(const Decision& decision, const PacketMetadata& meta,
                   const DecisionTime& moment) {
    const bool routine = decision.reason == ResultCode::kForwardedKnownFlow ||
                         decision.service == nullptr;
    if (routine) return;
    if (moment.now >= event_refill_at_) {
      event_refill_at_ = moment.now + std::chrono::seconds(1);
      events_left_ = kMaxEventsPerSecond;
    }
    if (events_left_ == 0) return;
    --events_left_;
    const Endpoint caller{.address = meta.key.source,
                          .port = meta.key.source_port};
    history_.Add(
        {.time = WallClockText(),
         .service = decision.service->service->number,
         .server = decision.server,
         .code = static_cast<uint16_t>(decision.reason),
         .message = absl::StrCat("caller ", FormatEndpoint(caller), ": ",
                                 ResultCodeName(decision.reason))});
  }

  void SendOn(const Decision& decision, const GenevePacket& packet,
              SendBatch& batch) {
    if (decision.verdict == Verdict::kDrop) return;
    const bool forward = decision.verdict == Verdict::kForward;
    const Service& service = *decision.service->service;
    const Endpoint* to = nullptr;
    if (forward) {
      to = &FindServer(service, decision.server)->geneve_endpoint;
    } else {
      const auto found = view_->data_endpoints.find(decision.peer);
      if (found == view_->data_endpoints.end()) return;
      to = &found->second;
    }
    const std::optional<RelayOption> hand_on =
        forward ? std::nullopt : std::optional(decision.relay_option);
    const size_t header_size = WriteGeneveHeader(service.vni, packet.protocol,
                                                 hand_on, batch.NextHeader());
    batch.Add(ToSocketAddress(*to), header_size, packet.payload);
  }

  uint64_t hash_key_;
  SharedView& shared_view_;
  FlowTable& flows_;
  NoticeQueue& notices_;
  EventHistory& history_;
  MetricsShard& metrics_;
  DecisionTime moment_;
  ViewPtr view_;
  uint64_t version_ = 0;
  uint64_t packets_ = 0;
  TimePoint event_refill_at_;
  int events_left_ = 0;
};

}  // namespace

void SharedView::SetView(ViewPtr view) {
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

void NoticeQueue::Push(const PendingNotice& notice) {
  absl::MutexLock lock(&mutex_);
  if (notices_.size() < kMaxNotices) notices_.push_back(notice);
}

std::vector<PendingNotice> NoticeQueue::TakeAll() {
  absl::MutexLock lock(&mutex_);
  return std::exchange(notices_, {});
}

Forwarder::Forwarder(const ForwarderSettings& settings, SharedView& view,
                     FlowTable& flows, NoticeQueue& notices,
                     EventHistory& history)
    : settings_(settings),
      view_(view),
      flows_(flows),
      notices_(notices),
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
    return std::make_unique<GeneveHandler>(settings_.hash_key, view_, flows_,
                                           notices_, history_,
                                           *metrics_[worker]);
  });
  return absl::OkStatus();
}

bool Forwarder::QuietSince(Duration quiet, TimePoint now) const {
  return now - workers_.last_router_packet_at() >= quiet;
}

}  // namespace knapweedlift
