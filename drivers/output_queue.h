#ifndef KNAPWEEDLIFT_DRIVERS_OUTPUT_QUEUE_H_
#define KNAPWEEDLIFT_DRIVERS_OUTPUT_QUEUE_H_

#include <cstddef>
#include <deque>
#include <string>

#include "core/time.h"

namespace knapweedlift {

// Writes lines to a file descriptor without ever waiting for its reader. Lines
// that the reader has no room for are queued up to a bound. The descriptor may
// be shared with other processes, so its mode is left alone. Not thread-safe.
class OutputQueue {
 public:
  explicit OutputQueue(int fd) : fd_(fd) {}

  // True if the next line would be beyond the bound.
  bool full() const { return queued_bytes_ >= kMaxQueuedBytes; }
  bool empty() const { return lines_.empty(); }

  // Appends a line, which ends in a line feed, whether or not the queue is
  // full, and writes what the reader has room for.
  void Append(std::string line);

  // Writes as much as the reader has room for. Lines are discarded if there is
  // no reader any more.
  void Write();

  // Writes until the queue is empty or the deadline passes.
  void Flush(TimePoint deadline);

  // Number of lines discarded since the start.
  size_t discarded() const { return discarded_; }

  static constexpr size_t kMaxQueuedBytes = 262'144;

 private:
  // Waits until a write of one chunk would not block.
  bool WaitWritable(Duration timeout) const;
  // Writes a chunk of the first line. Returns false on failure.
  bool WriteChunk();
  void Discard();

  int fd_;
  std::deque<std::string> lines_;
  // Bytes of the first line that were written.
  size_t written_ = 0;
  size_t queued_bytes_ = 0;
  size_t discarded_ = 0;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_DRIVERS_OUTPUT_QUEUE_H_
