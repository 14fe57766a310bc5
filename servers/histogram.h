#ifndef KNAPWEEDLIFT_SERVERS_HISTOGRAM_H_
#define KNAPWEEDLIFT_SERVERS_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <string>

namespace knapweedlift {

// The range of a histogram on a logarithmic axis.
struct HistogramRange {
  double min = 1;
  double max = 2;
  unsigned bins = 1;

  auto operator<=>(const HistogramRange&) const = default;
};

// A histogram of a positive quantity with bins of equal logarithmic width. Not
// thread-safe.
class LogHistogram {
 public:
  explicit LogHistogram(const HistogramRange& range);

  void Add(double value);

  // Adds the counts of another histogram, which must have the same range.
  void Merge(const LogHistogram& other);

  // Appends the Prometheus text format: cumulative buckets, sum and count.
  // `labels` has the form name="value",... without braces.
  void AppendPrometheus(const std::string& name, const std::string& labels,
                        std::string& out) const;

  // Number of values added, those out of range included.
  double count() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counts = decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0)));

  Counts counts_;
  double sum_ = 0;
};

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_HISTOGRAM_H_
