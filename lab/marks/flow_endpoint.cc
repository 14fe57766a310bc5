#include "lab/marks/flow_endpoint.h"

#include <algorithm>
#include <utility>

namespace knapweedlift::lab {
namespace {

// Limits and timeouts that the platform's page "PROTOCOL", section "Flows",
// specifies.
constexpr size_t kMaxInFlightSegments = 16;
constexpr size_t kMaxDataBytes = 1'200;
constexpr Duration kInitialRetransmitTimeout{200};
constexpr Duration kMaxRetransmitTimeout{1'600};
constexpr int kMaxRetransmissions = 8;

bool IsSequenceBefore(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) < 0;
}

uint32_t SequenceEnd(const Segment& segment) {
  return segment.header.sequence + static_cast<uint32_t>(segment.data.size()) +
         (HasFlag(segment, platform::kFlagFin) ? 1 : 0);
}

}  // namespace

FlowEndpoint::FlowEndpoint(const platform::PacketHeader& header,
                           uint32_t sequence, uint32_t expected_sequence)
    : header_(header),
      next_sequence_(sequence),
      expected_sequence_(expected_sequence) {}

void FlowEndpoint::Write(const std::string& data) {
  for (size_t at = 0; at < data.size(); at += kMaxDataBytes) {
    queue_.push_back(data.substr(at, kMaxDataBytes));
  }
}

void FlowEndpoint::CloseWrite() { close_requested_ = true; }

void FlowEndpoint::HandleSegment(const Segment& segment, TimePoint now,
                                 const SegmentSender& send) {
  header_.mark = segment.header.mark;
  if (HasFlag(segment, platform::kFlagAck)) {
    HandleAcknowledgement(segment.header.acknowledged, now);
  }
  const bool has_payload_or_fin =
      !segment.data.empty() || HasFlag(segment, platform::kFlagFin);
  if (!has_payload_or_fin) return;
  reorder_buffer_[segment.header.sequence] = segment;
  while (true) {
    const auto next =
        std::find_if(reorder_buffer_.begin(), reorder_buffer_.end(),
                     [this](const auto& item) {
                       return !IsSequenceBefore(expected_sequence_, item.first);
                     });
    if (next == reorder_buffer_.end()) break;
    const Segment taken = std::move(next->second);
    reorder_buffer_.erase(next);
    DeliverInOrder(taken);
  }
  SendAcknowledgement(send);
}

void FlowEndpoint::DeliverInOrder(const Segment& segment) {
  if (!IsSequenceBefore(expected_sequence_, SequenceEnd(segment))) return;
  const uint32_t received_bytes = expected_sequence_ - segment.header.sequence;
  if (received_bytes < segment.data.size()) {
    received_ += segment.data.substr(received_bytes);
  }
  expected_sequence_ = SequenceEnd(segment);
  if (HasFlag(segment, platform::kFlagFin)) peer_closed_ = true;
}

void FlowEndpoint::HandleAcknowledgement(uint32_t acknowledged, TimePoint now) {
  bool acknowledged_any = false;
  while (
      !unacknowledged_.empty() &&
      !IsSequenceBefore(acknowledged, unacknowledged_.front().end_sequence)) {
    unacknowledged_.pop_front();
    acknowledged_any = true;
  }
  if (!acknowledged_any) return;
  retransmissions_ = 0;
  retransmit_at_ = unacknowledged_.empty() ? TimePoint::max()
                                           : now + kInitialRetransmitTimeout;
}

void FlowEndpoint::Tick(TimePoint now, const SegmentSender& send) {
  if (now >= retransmit_at_) {
    if (++retransmissions_ > kMaxRetransmissions) {
      timed_out_ = true;
      return;
    }
    for (const SentSegment& sent : unacknowledged_) {
      Segment again = sent.segment;
      again.header.mark = header_.mark;
      again.header.acknowledged = expected_sequence_;
      send(again);
    }
    retransmit_at_ =
        now + std::min(kMaxRetransmitTimeout,
                       kInitialRetransmitTimeout * (1 << retransmissions_));
  }
  const bool idle = unacknowledged_.empty();
  while (!queue_.empty() && unacknowledged_.size() < kMaxInFlightSegments) {
    SendNextSegment(send);
  }
  const bool send_fin = close_requested_ && !fin_sent_ && queue_.empty();
  if (send_fin) {
    fin_sent_ = true;
    Segment fin{.header = header_};
    fin.header.flags = platform::kFlagFin | platform::kFlagAck;
    fin.header.sequence = next_sequence_++;
    fin.header.acknowledged = expected_sequence_;
    unacknowledged_.push_back({fin, next_sequence_});
    send(fin);
  }
  if (idle && !unacknowledged_.empty()) {
    retransmit_at_ = now + kInitialRetransmitTimeout;
  }
}

void FlowEndpoint::SendNextSegment(const SegmentSender& send) {
  Segment next{.header = header_, .data = std::move(queue_.front())};
  queue_.pop_front();
  next.header.flags = platform::kFlagAck;
  next.header.sequence = next_sequence_;
  next.header.acknowledged = expected_sequence_;
  next_sequence_ += static_cast<uint32_t>(next.data.size());
  unacknowledged_.push_back({next, next_sequence_});
  send(next);
}

void FlowEndpoint::SendAcknowledgement(const SegmentSender& send) {
  Segment ack{.header = header_};
  ack.header.flags = platform::kFlagAck;
  ack.header.sequence = next_sequence_;
  ack.header.acknowledged = expected_sequence_;
  send(ack);
}

std::string FlowEndpoint::Read() { return std::exchange(received_, {}); }

}  // namespace knapweedlift::lab
