#include "servers/histogram.h"

#include "absl/strings/str_cat.h"

namespace knapweedlift {

LogHistogram::LogHistogram(const HistogramRange& range)
    : counts_(boost::histogram::make_histogram(
          Axis(range.bins, range.min, range.max))) {}

void LogHistogram::Add(double value) {
  counts_(value);
  sum_ += value;
}

void LogHistogram::Merge(const LogHistogram& other) {
  counts_ += other.counts_;
  sum_ += other.sum_;
}

double LogHistogram::count() const {
  return boost::histogram::algorithm::sum(counts_);
}

void LogHistogram::AppendPrometheus(const std::string& name,
                                    const std::string& labels,
                                    std::string& out) const {
  const auto& axis = counts_.axis();
  // The underflow bin has index -1.
  double cumulative = counts_.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += counts_.at(i);
    absl::StrAppend(&out, name, "_bucket{", labels, ",le=\"",
                    axis.bin(i).upper(), "\"} ", cumulative, "\n");
  }
  absl::StrAppend(&out, name, "_bucket{", labels, ",le=\"+Inf\"} ", count(),
                  "\n", name, "_sum{", labels, "} ", sum_, "\n", name,
                  "_count{", labels, "} ", count(), "\n");
}

}  // namespace knapweedlift
