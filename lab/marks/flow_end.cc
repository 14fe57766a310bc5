#include "lab/marks/flow_end.h"

#include <algorithm>
#include <utility>

namespace knapweedlift::lab {
namespace {

// Rules of the platform's page "PROTOCOL", section "Flows".
constexpr size_t kMaxInFlight = 16;
constexpr size_t kMaxDataBytes = 1'200;
constexpr Duration kFirstRepeat{200};
constexpr Duration kLongestRepeat{1'600};
constexpr int kMaxRepeats = 8;

bool IsBehind(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) < 0;
}

uint32_t EndOf(const Segment& segment) {
  return segment.header.sequence + static_cast<uint32_t>(segment.data.size()) +
         (HasFlag(segment, platform::kFlagFin) ? 1 : 0);
}

}  // namespace

FlowEnd::FlowEnd(const platform::PacketHeader& header, uint32_t sequence,
                 uint32_t expected)
    : header_(header), sequence_(sequence), expected_(expected) {}

void FlowEnd::Write(const std::string& data) {
  for (size_t at = 0; at < data.size(); at += kMaxDataBytes) {
    queue_.push_back(data.substr(at, kMaxDataBytes));
  }
}

void FlowEnd::Finish() { finishing_ = true; }

void FlowEnd::Take(const Segment& segment, TimePoint now, const Sender& send) {
  header_.mark = segment.header.mark;
  if (HasFlag(segment, platform::kFlagAck)) {
    TakeAcknowledged(segment.header.acknowledged, now);
  }
  const bool carries =
      !segment.data.empty() || HasFlag(segment, platform::kFlagFin);
  if (!carries) return;
  early_[segment.header.sequence] = segment;
  while (true) {
    const auto next = std::find_if(
        early_.begin(), early_.end(),
        [this](const auto& item) { return !IsBehind(expected_, item.first); });
    if (next == early_.end()) break;
    const Segment taken = std::move(next->second);
    early_.erase(next);
    TakeInOrder(taken);
  }
  Acknowledge(send);
}

void FlowEnd::TakeInOrder(const Segment& segment) {
  if (!IsBehind(expected_, EndOf(segment))) return;
  const uint32_t known = expected_ - segment.header.sequence;
  if (known < segment.data.size()) input_ += segment.data.substr(known);
  expected_ = EndOf(segment);
  if (HasFlag(segment, platform::kFlagFin)) finished_ = true;
}

void FlowEnd::TakeAcknowledged(uint32_t acknowledged, TimePoint now) {
  bool progress = false;
  while (!unacknowledged_.empty() &&
         !IsBehind(acknowledged, unacknowledged_.front().end)) {
    unacknowledged_.pop_front();
    progress = true;
  }
  if (!progress) return;
  repeats_ = 0;
  repeat_at_ = unacknowledged_.empty() ? TimePoint::max() : now + kFirstRepeat;
}

void FlowEnd::Tick(TimePoint now, const Sender& send) {
  if (now >= repeat_at_) {
    if (++repeats_ > kMaxRepeats) {
      gave_up_ = true;
      return;
    }
    for (const Sent& sent : unacknowledged_) {
      Segment again = sent.segment;
      again.header.mark = header_.mark;
      again.header.acknowledged = expected_;
      send(again);
    }
    repeat_at_ = now + std::min(kLongestRepeat, kFirstRepeat * (1 << repeats_));
  }
  const bool idle = unacknowledged_.empty();
  while (!queue_.empty() && unacknowledged_.size() < kMaxInFlight) {
    SendNext(send);
  }
  const bool finish = finishing_ && !finish_sent_ && queue_.empty();
  if (finish) {
    finish_sent_ = true;
    Segment fin{.header = header_};
    fin.header.flags = platform::kFlagFin | platform::kFlagAck;
    fin.header.sequence = sequence_++;
    fin.header.acknowledged = expected_;
    unacknowledged_.push_back({fin, sequence_});
    send(fin);
  }
  if (idle && !unacknowledged_.empty()) repeat_at_ = now + kFirstRepeat;
}

void FlowEnd::SendNext(const Sender& send) {
  Segment next{.header = header_, .data = std::move(queue_.front())};
  queue_.pop_front();
  next.header.flags = platform::kFlagAck;
  next.header.sequence = sequence_;
  next.header.acknowledged = expected_;
  sequence_ += static_cast<uint32_t>(next.data.size());
  unacknowledged_.push_back({next, sequence_});
  send(next);
}

void FlowEnd::Acknowledge(const Sender& send) {
  Segment ack{.header = header_};
  ack.header.flags = platform::kFlagAck;
  ack.header.sequence = sequence_;
  ack.header.acknowledged = expected_;
  send(ack);
}

std::string FlowEnd::Read() { return std::exchange(input_, {}); }

}  // namespace knapweedlift::lab
