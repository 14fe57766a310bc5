#ifndef KNAPWEEDLIFT_LAB_MARKS_FLOW_ENDPOINT_H_
#define KNAPWEEDLIFT_LAB_MARKS_FLOW_ENDPOINT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "core/time.h"
#include "lab/marks/segment.h"

namespace knapweedlift::lab {

// One end of an open flow: delivers bytes in order, acknowledges, and repeats
// what was not acknowledged. Does no I/O.
class FlowEndpoint {
 public:
  using SegmentSender = std::function<void(const Segment&)>;

  // `head` holds the addresses of this end's packets.
  FlowEndpoint(const platform::PacketHeader& header, uint32_t sequence,
               uint32_t expected_sequence);

  // Queues data, and the end of the flow.
  void Write(const std::string& data);
  void CloseWrite();

  // Takes a packet of the other end.
  void HandleSegment(const Segment& segment, TimePoint now,
                     const SegmentSender& send);

  // Sends what is new or must be repeated.
  void Tick(TimePoint now, const SegmentSender& send);

  // Bytes that arrived in order since the last call.
  std::string Read();

  // The other end has sent its last byte.
  bool peer_closed() const { return peer_closed_; }
  // All of this end's bytes were acknowledged.
  bool fully_acknowledged() const {
    return unacknowledged_.empty() && queue_.empty();
  }
  // The other end was silent through all repeats.
  bool timed_out() const { return timed_out_; }
  // The next byte that this end expects.
  uint32_t expected_sequence() const { return expected_sequence_; }

 private:
  struct SentSegment {
    Segment segment;
    uint32_t end_sequence = 0;
  };

  void SendAcknowledgement(const SegmentSender& send);
  void SendNextSegment(const SegmentSender& send);
  void HandleAcknowledgement(uint32_t acknowledged, TimePoint now);
  void DeliverInOrder(const Segment& segment);

  platform::PacketHeader header_;
  uint32_t next_sequence_;
  uint32_t expected_sequence_;
  std::string received_;
  std::map<uint32_t, Segment> reorder_buffer_;
  std::deque<std::string> queue_;
  bool close_requested_ = false;
  bool fin_sent_ = false;
  bool peer_closed_ = false;
  bool timed_out_ = false;
  std::deque<SentSegment> unacknowledged_;
  int retransmissions_ = 0;
  TimePoint retransmit_at_ = TimePoint::max();
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_FLOW_ENDPOINT_H_
