#ifndef KNAPWEEDLIFT_LAB_MARKS_FLOW_END_H_
#define KNAPWEEDLIFT_LAB_MARKS_FLOW_END_H_

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
class FlowEnd {
 public:
  using Sender = std::function<void(const Segment&)>;

  // `head` holds the addresses of this end's packets.
  FlowEnd(const platform::PacketHeader& header, uint32_t sequence,
          uint32_t expected);

  // Queues data, and the end of the flow.
  void Write(const std::string& data);
  void Finish();

  // Takes a packet of the other end.
  void Take(const Segment& segment, TimePoint now, const Sender& send);

  // Sends what is new or must be repeated.
  void Tick(TimePoint now, const Sender& send);

  // Bytes that arrived in order since the last call.
  std::string Read();

  // The other end has sent its last byte.
  bool finished() const { return finished_; }
  // All of this end's bytes were acknowledged.
  bool drained() const { return unacknowledged_.empty() && queue_.empty(); }
  // The other end was silent through all repeats.
  bool gave_up() const { return gave_up_; }
  // The next byte that this end expects.
  uint32_t expected() const { return expected_; }

 private:
  struct Sent {
    Segment segment;
    uint32_t end = 0;
  };

  void Acknowledge(const Sender& send);
  void SendNext(const Sender& send);
  void TakeAcknowledged(uint32_t acknowledged, TimePoint now);
  void TakeInOrder(const Segment& segment);

  platform::PacketHeader header_;
  uint32_t sequence_;
  uint32_t expected_;
  std::string input_;
  std::map<uint32_t, Segment> early_;
  std::deque<std::string> queue_;
  bool finishing_ = false;
  bool finish_sent_ = false;
  bool finished_ = false;
  bool gave_up_ = false;
  std::deque<Sent> unacknowledged_;
  int repeats_ = 0;
  TimePoint repeat_at_ = TimePoint::max();
};

}  // namespace knapweedlift::lab

#endif  // KNAPWEEDLIFT_LAB_MARKS_FLOW_END_H_
