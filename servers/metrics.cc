#include "servers/metrics.h"

#include <cmath>

#include "absl/strings/str_cat.h"

namespace knapweedlift {
namespace {

void AppendCounters(const MetricsShards& shards, std::string& out) {
  absl::StrAppend(&out, "# TYPE knapweedlift_results_total counter\n");
  for (const ResultCodeRow& row : ResultCodeTable()) {
    const uint64_t count = TotalCount(shards, row.code);
    absl::StrAppend(&out, "knapweedlift_results_total{code=\"",
                    static_cast<int>(row.code), "\",name=\"", row.name, "\"} ",
                    count, "\n");
  }
}

}  // namespace

void ServiceHistograms::Merge(const ServiceHistograms& other) {
  decision_ns.Merge(other.decision_ns);
  packet_queue_ns.Merge(other.packet_queue_ns);
  packet_bytes.Merge(other.packet_bytes);
  flow_age_s.Merge(other.flow_age_s);
  new_flows_per_second.Merge(other.new_flows_per_second);
  caller_wait_ms.Merge(other.caller_wait_ms);
  facts_age_ms.Merge(other.facts_age_ms);
  new_flows += other.new_flows;
}

void MetricsShard::Count(ResultCode code) {
  counts_[static_cast<size_t>(code)].fetch_add(1, std::memory_order_relaxed);
}

uint64_t MetricsShard::ValueOf(ResultCode code) const {
  return counts_[static_cast<size_t>(code)].load(std::memory_order_relaxed);
}

void MetricsShard::MergeHistogramsInto(
    std::map<ServiceNumber, ServiceHistograms>& into) {
  absl::MutexLock lock(&mutex_);
  for (const auto& [service, histograms] : services_) {
    into[service].Merge(histograms);
  }
}

std::string PrometheusText(const MetricsShards& shards,
                           const ServiceLabels& service_labels,
                           const std::vector<Gauge>& gauges) {
  std::string out;
  AppendCounters(shards, out);
  for (const Gauge& gauge : gauges) {
    const std::string labels =
        gauge.labels.empty() ? "" : absl::StrCat("{", gauge.labels, "}");
    absl::StrAppend(&out, gauge.name, labels, " ", gauge.value, "\n");
  }
  std::map<ServiceNumber, ServiceHistograms> services;
  for (const auto& shard : shards) shard->MergeHistogramsInto(services);
  for (const auto& [number, histograms] : services) {
    const std::string labels = service_labels(number);
    histograms.decision_ns.AppendPrometheus("knapweedlift_decision_nanoseconds",
                                            labels, out);
    histograms.packet_queue_ns.AppendPrometheus(
        "knapweedlift_packet_queue_nanoseconds", labels, out);
    histograms.packet_bytes.AppendPrometheus("knapweedlift_packet_bytes",
                                             labels, out);
    histograms.flow_age_s.AppendPrometheus("knapweedlift_flow_age_seconds",
                                           labels, out);
    histograms.new_flows_per_second.AppendPrometheus(
        "knapweedlift_new_flows_per_second", labels, out);
    histograms.caller_wait_ms.AppendPrometheus(
        "knapweedlift_caller_wait_milliseconds", labels, out);
    histograms.facts_age_ms.AppendPrometheus(
        "knapweedlift_placement_facts_age_milliseconds", labels, out);
  }
  return out;
}

uint64_t TotalCount(const MetricsShards& shards, ResultCode code) {
  uint64_t total = 0;
  for (const auto& shard : shards) total += shard->ValueOf(code);
  return total;
}

}  // namespace knapweedlift
