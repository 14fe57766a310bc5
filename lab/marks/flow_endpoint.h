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

// One endpoint of an established flow: reliable, in-order byte delivery with
// acknowledgements and retransmission. Does no I/O itself.
class FlowEndpoint {
 public:
  using SegmentSender = std::function<void(const Segment&)>;

  // `header` holds the addresses and mark of outgoing segments, `sequence` is
  // the first sequence number to send, and `expected_sequence` the first to
  // receive.
  FlowEndpoint(const platform::PacketHeader& header, uint32_t sequence,
               uint32_t expected_sequence);

  // Queues data for sending.
  void Write(const std::string& data);
  // Sets the mark of outgoing segments, which echo the last mark received.
  void SetMark(Mark mark) { header_.mark = mark; }
  // Sends a FIN once all queued data has been sent.
  void CloseWrite();

  // Processes a segment from the peer; sends an acknowledgement if it carries
  // data or a FIN.
  void HandleSegment(const Segment& segment, TimePoint now,
                     const SegmentSender& send);

  // Sends queued segments and retransmits unacknowledged ones that are due.
  void Tick(TimePoint now, const SegmentSender& send);

  // Returns the bytes received in order since the last call.
  std::string Read();

  // True once the peer's FIN has been received in order.
  bool peer_closed() const { return peer_closed_; }
  // True if everything written so far has been sent and acknowledged.
  bool fully_acknowledged() const {
    return unacknowledged_.empty() && queue_.empty();
  }
  // True once all retransmissions went unacknowledged.
  bool timed_out() const { return timed_out_; }
  // Sequence number of the next byte expected from the peer.
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
