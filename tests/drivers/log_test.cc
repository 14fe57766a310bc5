#include "drivers/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "drivers/clock.h"
#include "drivers/output_queue.h"
#include "drivers/socket.h"
#include "tests/support/properties.h"

using namespace knapweedlift;
using nlohmann::json;

namespace {

constexpr int kPipeBytes = 4'096;

// A pipe that holds a page.
struct Pipe {
  Pipe() {
    int ends[2];
    cr_assert(pipe2(ends, O_CLOEXEC) == 0);
    reader = FileDescriptor(ends[0]);
    writer = FileDescriptor(ends[1]);
    fcntl(writer.value(), F_SETPIPE_SZ, kPipeBytes);
    fcntl(reader.value(), F_SETFL, O_NONBLOCK);
  }

  // Reads what the pipe holds.
  std::string Read() const {
    std::string text;
    char buffer[kPipeBytes];
    while (true) {
      const ssize_t count = read(reader.value(), buffer, sizeof(buffer));
      if (count <= 0) return text;
      text.append(buffer, static_cast<size_t>(count));
    }
  }

  FileDescriptor reader;
  FileDescriptor writer;
};

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  size_t begin = 0;
  for (size_t end = text.find('\n'); end != std::string::npos;
       end = text.find('\n', begin)) {
    lines.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  cr_expect(begin == text.size(), "the last line is incomplete");
  return lines;
}

std::string ReadWhole(const Pipe& pipe, OutputQueue& queue) {
  std::string text = pipe.Read();
  while (!queue.empty()) {
    queue.Write();
    text += pipe.Read();
  }
  return text;
}

}  // namespace

Test(output_queue, writes_lines_in_order_when_the_reader_is_back,
     .timeout = 30) {
  const Pipe pipe;
  OutputQueue queue(pipe.writer.value());
  std::vector<std::string> written;
  while (!queue.full()) {
    // Some lines are longer than the pipe.
    const size_t size = written.size() % 7 == 0 ? 3 * kPipeBytes : 50;
    written.push_back(std::to_string(written.size()) + std::string(size, 'x'));
    queue.Append(written.back() + "\n");
  }
  cr_expect(SplitLines(ReadWhole(pipe, queue)) == written);
  cr_expect(not queue.full());
  cr_expect(queue.discarded() == 0);
}

Test(output_queue, discards_lines_without_a_reader, .timeout = 30) {
  std::signal(SIGPIPE, SIG_IGN);
  Pipe pipe;
  OutputQueue queue(pipe.writer.value());
  while (!queue.full()) queue.Append(std::string(100, 'x') + "\n");
  pipe.reader = FileDescriptor();
  queue.Write();
  cr_expect(queue.empty());
  cr_expect(queue.discarded() > 0);
}

Test(output_queue, a_flush_ends_at_its_deadline, .timeout = 30) {
  const Pipe pipe;
  OutputQueue queue(pipe.writer.value());
  queue.Append(std::string(3 * kPipeBytes, 'x') + "\n");
  const TimePoint start = Now();
  queue.Flush(start + Duration(50));
  cr_expect(not queue.empty());
  cr_expect(Now() - start >= Duration(50));
}

// Guards against a thread that waits for the reader of its log for good.
Test(log, lines_beyond_the_queue_are_dropped_and_counted, .timeout = 30) {
  constexpr uint64_t kLines = 20'000;
  const Pipe pipe;
  cr_assert(dup2(pipe.writer.value(), STDOUT_FILENO) == STDOUT_FILENO);
  for (uint64_t i = 0; i < kLines; ++i) {
    LogInfoUnlimited(i % 2 == 0 ? "even" : "odd", {{"number", i}});
  }
  const auto taken = TakeDroppedLineCounts();
  cr_assert(taken.size() == 2);
  cr_expect(TakeDroppedLineCounts().empty());
  std::string text;
  // The reader is back.
  for (std::string part = pipe.Read(); !part.empty(); part = pipe.Read()) {
    text += part;
    WriteQueuedLogLines();
  }
  LogInfoUnlimited("after", {});
  text += pipe.Read();
  uint64_t written = 0;
  uint64_t reported = 0;
  uint64_t last = 0;
  for (const std::string& line : SplitLines(text)) {
    const json fields = json::parse(line);
    if (fields["event"] == "log_lines_dropped") {
      for (const auto& [event, count] : fields["lines"].items()) {
        cr_expect(count == taken.at(event));
        reported += count.get<uint64_t>();
      }
    }
    if (!fields.contains("number")) continue;
    ++written;
    cr_expect(fields["number"] >= last);
    last = fields["number"];
  }
  cr_expect(written > 0);
  cr_expect(reported > 0);
  cr_expect(written + reported == kLines, "%lu + %lu", written, reported);
}
