#include "drivers/output_queue.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

#include "drivers/clock.h"

namespace knapweedlift {

void OutputQueue::Append(std::string line) {
  queued_bytes_ += line.size();
  lines_.push_back(std::move(line));
  Write();
}

void OutputQueue::Write() {
  while (!lines_.empty() && WaitWritable(Duration(0))) {
    if (!WriteChunk()) return Discard();
  }
}

void OutputQueue::Flush(TimePoint deadline) {
  while (!lines_.empty()) {
    const Duration remaining = deadline - Now();
    if (remaining <= Duration(0) || !WaitWritable(remaining)) return;
    Write();
  }
}

bool OutputQueue::WaitWritable(Duration timeout) const {
  pollfd entry{.fd = fd_, .events = POLLOUT, .revents = 0};
  // Without a reader, poll reports an error, and so does the write.
  return poll(&entry, 1, static_cast<int>(timeout.count())) > 0;
}

bool OutputQueue::WriteChunk() {
  std::string& line = lines_.front();
  // A pipe that is ready takes this many bytes without blocking.
  const size_t size = std::min<size_t>(line.size() - written_, PIPE_BUF);
  const ssize_t count = write(fd_, line.data() + written_, size);
  if (count < 0) return errno == EAGAIN || errno == EINTR;
  written_ += static_cast<size_t>(count);
  if (written_ < line.size()) return true;
  queued_bytes_ -= line.size();
  written_ = 0;
  lines_.pop_front();
  return true;
}

void OutputQueue::Discard() {
  discarded_ += lines_.size();
  lines_.clear();
  queued_bytes_ = 0;
  written_ = 0;
}

}  // namespace knapweedlift
