#ifndef KNAPWEEDLIFT_SERVERS_METRICS_H_
#define KNAPWEEDLIFT_SERVERS_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "core/result_code.h"
#include "core/sheet/sheet.h"
#include "servers/histogram.h"

namespace knapweedlift {

// Histograms of one service; the suffix of a name gives its unit.
struct ServiceHistograms {
  LogHistogram decision_ns{{.min = 16, .max = 1 << 20, .bins = 32}};
  // From the reception of a batch to the decision on one of its packets. Time
  // in the receive buffer of the socket is not included.
  LogHistogram packet_queue_ns{{.min = 16, .max = 1 << 28, .bins = 32}};
  LogHistogram packet_bytes{{.min = 32, .max = 9216, .bins = 24}};
  LogHistogram flow_age_s{{.min = 0.1, .max = 1e6, .bins = 28}};
  LogHistogram new_flows_per_second{{.min = 1, .max = 1e6, .bins = 24}};
  // From the first packet of a request to the caller's packet that shows an
  // answer.
  LogHistogram caller_wait_ms{{.min = 1, .max = 1e5, .bins = 40}};
  // Time since the registry was last confirmed to be current, when a flow was
  // placed.
  LogHistogram facts_age_ms{{.min = 1, .max = 1e6, .bins = 24}};
  uint64_t new_flows = 0;

  void Merge(const ServiceHistograms& other);
};

// Counters and histograms of one worker. Thread-safe.
class MetricsShard {
 public:
  void Count(ResultCode code);
  uint64_t ValueOf(ResultCode code) const;

  // Runs `change` on a service's histograms under the shard's lock.
  template <typename Change>
  void UpdateHistograms(ServiceNumber service, Change change) {
    absl::MutexLock lock(&mutex_);
    change(services_[service]);
  }

  // Adds the histograms of all services to `into`.
  void MergeHistogramsInto(std::map<ServiceNumber, ServiceHistograms>& into);

 private:
  static constexpr size_t kCounterCount = 600;

  std::array<std::atomic<uint64_t>, kCounterCount> counts_{};
  absl::Mutex mutex_;
  absl::flat_hash_map<ServiceNumber, ServiceHistograms> services_
      ABSL_GUARDED_BY(mutex_);
};

using MetricsShards = std::vector<std::unique_ptr<MetricsShard>>;

// A single value contributed by the control plane. `labels` may be empty.
struct Gauge {
  std::string name;
  std::string labels;
  double value = 0;
};

// Returns the labels of a service in the form name="value",... without braces.
using ServiceLabels = std::function<std::string(ServiceNumber)>;

// Formats all metrics in the Prometheus text format.
std::string PrometheusText(const MetricsShards& shards,
                           const ServiceLabels& service_labels,
                           const std::vector<Gauge>& gauges);

// Returns the sum of a counter over all shards.
uint64_t TotalCount(const MetricsShards& shards, ResultCode code);

}  // namespace knapweedlift

#endif  // KNAPWEEDLIFT_SERVERS_METRICS_H_
