#include "servers/marks/mark_forwarder.h"

#include <utility>

#include "core/placement/mark_decision.h"
#include "core/placement/placement.h"
#include "drivers/clock.h"

namespace knapweedlift {
namespace {

// One in this many packets is timed, and every packet of one in this many
// batches.
constexpr uint64_t kTimingSampleInterval = 64;

void QueueForward(const MarkedPacketCodec& codec, const ServerTarget& server,
                  std::span<uint8_t> datagram, SendBatch& batch) {
  // Packets of open flows already carry the mark; a SYN does not yet.
  codec.WriteMark(datagram, server.fact.mark);
  const size_t size =
      codec.WriteInstanceHeader(server.fact.instance, batch.NextHeader());
  batch.Add(ToSocketAddress(server.fact.endpoint), size, datagram);
}

void QueueReset(const MarkedPacketCodec& codec, const MarkedPacket& packet,
                uint16_t port, SendBatch& batch) {
  // Answering a reset with a reset could go on forever.
  if (packet.rst) return;
  const size_t size = codec.WriteReset(packet, batch.NextHeader());
  batch.Add(ToSocketAddress({.address = packet.key.source, .port = port}), size,
            {});
}

// Keeps the SYN of an opening flow so that it can be sent to another server.
void StoreSyn(MarkedFlow* flow, std::span<const uint8_t> datagram) {
  if (flow == nullptr || flow->state != MarkedFlowState::kOpening) return;
  flow->syn_packet.assign(datagram.begin(), datagram.end());
}

// Decides and forwards the packets of one worker, or the copies of SYNs that
// have waited.
class MarkDatagramHandler : public DatagramHandler {
 public:
  // `hold_copy` takes unseen copies of SYNs; without it they are placed.
  MarkDatagramHandler(const MarkForwarderSettings& settings,
                      const MarkForwarderContext& context, CopyHolder hold_copy,
                      ColdFlowCounts& cold_flows, MetricsShard& metrics)
      : settings_(settings),
        context_(context),
        hold_copy_(std::move(hold_copy)),
        cold_flows_(cold_flows),
        metrics_(metrics) {}

  void BeginBatch(TimePoint now) override {
    now_ = now;
    time_batch_ = ++batches_ % kTimingSampleInterval == 0;
    if (time_batch_) batch_received_ns_ = NowNanoseconds();
    if (view_ == nullptr) view_ = context_.view.WaitForFirst();
    if (context_.view.version() == version_) return;
    version_ = context_.view.version();
    view_ = context_.view.view();
  }

  bool Handle(std::span<uint8_t> datagram, SendBatch& batch) override {
    const auto packet = context_.codec.Parse(datagram);
    if (!packet.has_value() || view_ == nullptr) {
      metrics_.Count(ResultCode::kBadMarkedPacket);
      return true;
    }
    if (HoldUnseenCopy(*packet, datagram)) return true;
    const bool sampled = time_batch_ || ++packets_ % kTimingSampleInterval == 0;
    const int64_t start = sampled ? NowNanoseconds() : 0;
    const MarkDecision decision = DecidePacket(*packet, datagram);
    metrics_.Count(decision.reason);
    if (sampled) RecordTiming(decision, datagram, start);
    if (decision.verdict == MarkVerdict::kForward) {
      QueueForward(context_.codec, view_->servers[decision.server], datagram,
                   batch);
      return true;
    }
    LogDecision(decision.reason, packet->key, packet->mark);
    if (decision.verdict == MarkVerdict::kReset) {
      QueueReset(context_.codec, *packet, settings_.data.port, batch);
    }
    return true;
  }

 private:
  // Two servers would answer the SYN if this VM and another one placed its
  // copies on their own.
  bool HoldUnseenCopy(const MarkedPacket& packet,
                      std::span<const uint8_t> datagram) {
    if (packet.retransmit_count == 0 || hold_copy_ == nullptr) return false;
    const OpeningId id{.flow = Fingerprint(packet.key, settings_.hash_key),
                       .syn_sequence = packet.sequence};
    {
      MarkedFlowTable::Shard& shard = context_.flows.ShardOf(id.flow);
      absl::MutexLock lock(&shard.mutex);
      if (!IsUnseenCopy(packet, FindMarkedFlow(shard.map, id.flow))) {
        return false;
      }
    }
    return hold_copy_(
        {.id = id, .datagram = {datagram.begin(), datagram.end()}});
  }

  MarkDecision DecidePacket(const MarkedPacket& packet,
                            std::span<const uint8_t> datagram) {
    const uint64_t fingerprint = Fingerprint(packet.key, settings_.hash_key);
    MarkedFlowTable::Shard& shard = context_.flows.ShardOf(fingerprint);
    absl::MutexLock lock(&shard.mutex);
    MarkedFlow* flow = FindMarkedFlow(shard.map, fingerprint);
    const MarkDecision decision = ResetIfRouteDropped(
        DecideAndTakeToken(*view_, packet, flow, fingerprint, now_,
                           cold_flows_),
        shard.map, fingerprint, context_.view.confirmed_at(), now_);
    CountAdmission(decision);
    if (decision.verdict == MarkVerdict::kForward) {
      RecordForward(decision, packet, fingerprint, datagram, shard.map);
    } else if (decision.verdict == MarkVerdict::kReset) {
      RemoveMarkedFlow(shard.map, fingerprint);
    }
    return decision;
  }

  void CountAdmission(const MarkDecision& decision) {
    if (decision.service_index >= view_->admission.size()) return;
    AdmissionGate& gate = *view_->admission[decision.service_index];
    const bool refused = decision.reason == ResultCode::kResetNoRoom;
    ++(refused ? gate.refused : gate.admitted)[decision.admission_class];
  }

  void RecordForward(const MarkDecision& decision, const MarkedPacket& packet,
                     uint64_t fingerprint, std::span<const uint8_t> datagram,
                     MarkedFlowMap& map) {
    const ServerTarget& server = view_->servers[decision.server];
    const PacketObservation observation =
        RecordPacket(map, fingerprint, packet, server.fact.mark, now_);
    MarkedFlow* flow = FindMarkedFlow(map, fingerprint);
    if (!decision.without_route) RecordRoute(map, fingerprint, flow);
    if (flow == nullptr) return;
    if (packet.syn) StoreSyn(flow, datagram);
    if (decision.reason == ResultCode::kForwardedPlaced) {
      AddPlacedFlow(*server.load);
      RecordPlacement(
          map, fingerprint, *flow,
          {.reason = decision.reason,
           .revision = view_->as_of,
           .facts_age = FactsAge(context_.view.confirmed_at(), now_),
           .placed_at = now_});
      RecordFactsAge(server, flow->placement.facts_age);
    }
    if (observation.handshake_completed) LogFlowOpened(*flow, datagram);
    if (observation.first_served) {
      ++view_->admission[server.service_index]->served;
    }
    if (observation.answered) RecordCallerWait(server, observation.waited);
  }

  // Logs a flow at its first packet with data, which carries the id of its
  // first request.
  void LogFlowOpened(const MarkedFlow& flow,
                     std::span<const uint8_t> datagram) {
    context_.log.Add(
        {.reason = flow.placement.reason,
         .flow = flow.key,
         .request_id = std::string(context_.codec.RequestId(datagram)),
         .mark = flow.mark,
         .revision = flow.placement.revision,
         .facts_age = flow.placement.facts_age,
         .decided_at = flow.placement.placed_at});
  }

  void LogDecision(ResultCode reason, const FlowKey& flow, Mark mark) {
    context_.log.Add({.reason = reason,
                      .flow = flow,
                      .mark = mark,
                      .revision = view_->as_of,
                      .facts_age = FactsAge(context_.view.confirmed_at(), now_),
                      .decided_at = now_});
  }

  void RecordTiming(const MarkDecision& decision,
                    std::span<const uint8_t> datagram, int64_t start) {
    if (decision.verdict != MarkVerdict::kForward) return;
    const int64_t decided_in = NowNanoseconds() - start;
    const auto size = static_cast<double>(datagram.size());
    metrics_.UpdateHistograms(
        view_->servers[decision.server].service_index,
        [&](ServiceHistograms& histograms) {
          histograms.decision_ns.Add(static_cast<double>(decided_in));
          if (time_batch_) {
            histograms.packet_queue_ns.Add(
                static_cast<double>(start - batch_received_ns_));
          }
          histograms.packet_bytes.Add(size);
        });
  }

  void RecordFactsAge(const ServerTarget& server, Duration age) {
    if (age == kNeverConfirmed) return;
    metrics_.UpdateHistograms(
        server.service_index, [&](ServiceHistograms& histograms) {
          histograms.facts_age_ms.Add(static_cast<double>(age.count()));
        });
  }

  void RecordCallerWait(const ServerTarget& server, Duration waited) {
    metrics_.UpdateHistograms(
        server.service_index, [&](ServiceHistograms& histograms) {
          histograms.caller_wait_ms.Add(static_cast<double>(waited.count()));
        });
  }

  const MarkForwarderSettings& settings_;
  const MarkForwarderContext& context_;
  CopyHolder hold_copy_;
  ColdFlowCounts& cold_flows_;
  MetricsShard& metrics_;
  MarkViewPtr view_;
  uint64_t version_ = 0;
  uint64_t packets_ = 0;
  uint64_t batches_ = 0;
  bool time_batch_ = false;
  int64_t batch_received_ns_ = 0;
  TimePoint now_;
};

}  // namespace

MarkForwarder::MarkForwarder(const MarkForwarderSettings& settings,
                             const MarkForwarderContext& context)
    : settings_(settings),
      context_(context),
      workers_(settings.data, settings.workers, kMaxMarkedDatagramBytes) {
  for (size_t i = 0; i < settings.workers; ++i) {
    metrics_.push_back(std::make_unique<MetricsShard>());
  }
  released_copies_ = std::make_unique<MarkDatagramHandler>(
      settings_, context_, nullptr, cold_flows_, *metrics_.front());
}

absl::Status MarkForwarder::Start() {
  absl::Status status = workers_.Open();
  if (!status.ok()) return status;
  settings_.data = workers_.endpoint();
  workers_.Start([this](size_t worker) {
    return std::make_unique<MarkDatagramHandler>(
        settings_, context_, context_.hold_copy, cold_flows_,
        *metrics_[worker]);
  });
  return absl::OkStatus();
}

void MarkForwarder::Stop() {
  context_.view.CancelWait();
  workers_.Stop();
}

void MarkForwarder::ForwardHeldCopy(HeldCopy copy,
                                    const std::optional<Opening>& opening,
                                    TimePoint now) {
  const auto packet = context_.codec.Parse(copy.datagram);
  if (!packet.has_value()) return;
  if (opening.has_value()) {
    MarkedFlowTable::Shard& shard = context_.flows.ShardOf(opening->id.flow);
    absl::MutexLock lock(&shard.mutex);
    AdoptOpening(shard.map, *packet, *opening, now);
  }
  const auto batch = std::make_unique<SendBatch>();
  released_copies_->BeginBatch(now);
  released_copies_->Handle(copy.datagram, *batch);
  batch->Flush(workers_.socket(0));
}

void MarkForwarder::MoveOrResetFlows(const MarkView& view, Mark mark,
                                     TimePoint now) {
  for (size_t i = 0; i < context_.flows.shard_count(); ++i) {
    MoveOrResetShardFlows(view, mark, now, context_.flows.shard(i));
  }
}

void MarkForwarder::MoveOrResetShardFlows(const MarkView& view, Mark mark,
                                          TimePoint now,
                                          MarkedFlowTable::Shard& shard) {
  absl::MutexLock lock(&shard.mutex);
  std::vector<uint64_t> affected;
  for (const auto& [fingerprint, flow] : shard.map.flows) {
    // Idle flows are reset as well: a request that is not idempotent and meets
    // the reset is lost, while one that finds no open flow opens another.
    const bool matches =
        flow.mark == mark && flow.state != MarkedFlowState::kClosing;
    if (matches) affected.push_back(fingerprint);
  }
  if (affected.empty()) return;
  const auto batch = std::make_unique<SendBatch>();
  for (const uint64_t fingerprint : affected) {
    if (batch->size() == kBatchSize) batch->Flush(workers_.socket(0));
    MoveOrResetFlow(view, fingerprint, now, shard.map, *batch);
  }
  batch->Flush(workers_.socket(0));
}

void MarkForwarder::MoveOrResetFlow(const MarkView& view, uint64_t fingerprint,
                                    TimePoint now, MarkedFlowMap& map,
                                    SendBatch& batch) {
  MarkedFlow& flow = *FindMarkedFlow(map, fingerprint);
  const MarkedPacket packet{.key = flow.key,
                            .syn = !flow.syn_packet.empty(),
                            .sequence = flow.syn_sequence,
                            .acknowledged = flow.acknowledged};
  const MarkDecision decision =
      packet.syn ? DecideAndTakeToken(view, packet, &flow, fingerprint, now,
                                      cold_flows_)
                 : MarkDecision{.verdict = MarkVerdict::kReset};
  const bool moved = decision.verdict == MarkVerdict::kForward;
  const ResultCode reason =
      moved ? ResultCode::kForwardedMoved : ResultCode::kResetServerGone;
  metrics_.front()->Count(reason);
  context_.log.Add({.reason = reason,
                    .flow = flow.key,
                    .mark = flow.mark,
                    .revision = view.as_of,
                    .facts_age = FactsAge(context_.view.confirmed_at(), now),
                    .decided_at = now});
  if (!moved) {
    QueueReset(context_.codec, packet, settings_.data.port, batch);
    RemoveMarkedFlow(map, fingerprint);
    return;
  }
  const ServerTarget& server = view.servers[decision.server];
  MoveFlow(map, fingerprint, flow, server.fact.mark, now);
  flow.placement.reason = reason;
  QueueForward(context_.codec, server, flow.syn_packet, batch);
}

}  // namespace knapweedlift
