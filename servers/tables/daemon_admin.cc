#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "core/policy/homes.h"
#include "drivers/clock.h"
#include "servers/admin_responses.h"
#include "servers/tables/daemon.h"

namespace knapweedlift {
namespace {

using nlohmann::json;

constexpr size_t kMaxRecentEvents = 50;

json GenerationJson(const GenerationId& generation) {
  return {{"revision", generation.revision},
          {"sequence", generation.sequence},
          {"maker", generation.coordinator}};
}

std::map<ServerId, size_t> CountBucketsByServer(const BucketTable& table) {
  std::map<ServerId, size_t> bucket_counts;
  for (const Bucket& bucket : table.buckets) ++bucket_counts[bucket.current];
  return bucket_counts;
}

using FlowCounts = std::map<std::pair<ServiceNumber, ServerId>, size_t>;

FlowCounts CountFlows(FlowTable& flows, TimePoint now) {
  FlowCounts counts;
  flows.ForEachLive(now, [&counts](uint64_t, const FlowEntry& entry) {
    ++counts[{entry.service, entry.server}];
  });
  return counts;
}

json ServiceJson(const Service& service, const ServiceControl& control,
                 const FlowCounts& counts) {
  json status = {{"number", service.number},
                 {"name", service.name},
                 {"tenant", service.tenant},
                 {"address", FormatEndpoint(service.address)}};
  if (control.table == nullptr) {
    status["table"] = "waiting for a peer's table";
    return status;
  }
  const TableSummary summary = Summarize(*control.table);
  status["generation"] = GenerationJson(control.table->generation);
  status["buckets"] = {{"all", control.table->buckets.size()},
                       {"stable", summary.stable},
                       {"pending", summary.pending},
                       {"ambiguous", summary.ambiguous},
                       {"closing", summary.closing}};
  const auto bucket_counts = CountBucketsByServer(*control.table);
  for (const BackendServer& server : service.servers) {
    const auto bucket_count = bucket_counts.find(server.number);
    const auto count = counts.find({service.number, server.number});
    status["servers"].push_back(
        {{"number", server.number},
         {"address", FormatEndpoint(server.geneve_endpoint)},
         {"state", ServerStateName(server.state)},
         {"buckets",
          bucket_count == bucket_counts.end() ? 0 : bucket_count->second},
         {"flows_seen_here", count == counts.end() ? 0 : count->second}});
  }
  return status;
}

json RecentEventsJson(EventHistory& history, ServiceNumber service,
                      ServerId server) {
  json recent = json::array();
  for (const EventRecord& record : history.Recent(service, server)) {
    if (recent.size() >= kMaxRecentEvents) break;
    recent.push_back({{"time", record.time},
                      {"server", record.server},
                      {"code", record.code},
                      {"text", record.message}});
  }
  return recent;
}

std::string FormatServiceLabels(const SheetPtr& sheet, ServiceNumber number) {
  const Service* service =
      sheet == nullptr ? nullptr : FindService(*sheet, number);
  if (service == nullptr) return absl::StrCat("service=\"", number, "\"");
  return absl::StrCat("tenant=\"", service->tenant, "\",service=\"",
                      service->name, "\"");
}

// Describes how a packet in mid-flow of this bucket is forwarded. `known` is
// true if the flow table has the flow, whose server is `server`.
std::string DescribeRule(const Bucket& bucket, bool known, ServerId server) {
  if (known) {
    return absl::StrCat("The flow is known here; it stays on backend server ",
                        server, ".");
  }
  if (IsStable(bucket)) {
    return absl::StrCat(
        "The bucket is stable; the flow belongs to backend "
        "server ",
        bucket.current, ".");
  }
  return absl::StrCat(
      "The bucket is ambiguous; its homes decide. A flow that "
      "they do not know belongs to backend server ",
      ServerOfUnknownFlow(bucket), ", a new one is placed on ", bucket.current,
      ".");
}

}  // namespace

HttpResponse Daemon::HandleAdminRequest(const HttpRequest& request) {
  const std::string path = RequestPath(request.target);
  if (path == "/metrics") return PrometheusResponse();
  if (path == "/v1/status") return StatusResponse();
  if (path == "/v1/explain") return ExplainResponse(request);
  return ErrorResponse(kHttpNotFound,
                       "unknown path; use /metrics, /v1/status or /v1/explain");
}

HttpResponse Daemon::PrometheusResponse() {
  const auto to_double = [](auto value) { return static_cast<double>(value); };
  const uint64_t revision =
      control_.sheet == nullptr ? 0 : control_.sheet->revision;
  std::vector<Gauge> gauges = {
      {"knapweedlift_sheet_revision", "", to_double(revision)},
      {"knapweedlift_flows", "", to_double(flows_.Size())},
      {"knapweedlift_control_sent_bytes_total", "",
       to_double(send_queue_.sent_bytes())},
      {"knapweedlift_control_received_bytes_total", "",
       to_double(received_bytes_)},
      {"knapweedlift_control_discarded_total", "",
       to_double(send_queue_.discarded())},
      {"knapweedlift_peer_messages_bad_total", "", to_double(bad_messages_)},
      {"knapweedlift_fresh", "", IsFresh(control_, Now()) ? 1.0 : 0.0},
  };
  const auto labels = [this](ServiceNumber number) {
    return FormatServiceLabels(control_.sheet, number);
  };
  return MetricsResponse(PrometheusText(forwarder_.metrics(), labels, gauges));
}

HttpResponse Daemon::StatusResponse() {
  const TimePoint now = Now();
  json status = {{"vm", settings_.self.id},
                 {"domain", settings_.self.domain},
                 {"phase", PhaseName(control_.phase)},
                 {"fresh", IsFresh(control_, now)},
                 {"platform", platform_status_},
                 {"flows", flows_.Size()},
                 {"control_sent_bytes", send_queue_.sent_bytes()},
                 {"control_received_bytes", received_bytes_},
                 {"services", json::array()},
                 {"vms", json::array()}};
  status["sheet_revision"] =
      control_.sheet == nullptr ? 0 : control_.sheet->revision;
  for (const auto& [id, member] : control_.members) {
    status["vms"].push_back({{"id", id},
                             {"domain", member.address.domain},
                             {"phase", PhaseName(member.heartbeat.phase)},
                             {"suspect", now >= member.suspect_after},
                             {"listed", member.listed}});
  }
  if (control_.sheet == nullptr) return JsonResponse(status);
  const FlowCounts counts = CountFlows(flows_, now);
  for (const Service& service : control_.sheet->services) {
    status["services"].push_back(
        ServiceJson(service, control_.services[service.number], counts));
  }
  return JsonResponse(status);
}

HttpResponse Daemon::ExplainResponse(const HttpRequest& request) {
  if (!QueryParameter(request.target, "service").empty()) {
    return ExplainService(request);
  }
  const auto parsed_key = FlowKeyFromQuery(request);
  if (!parsed_key.has_value()) {
    return ErrorResponse(
        kHttpBadRequest,
        "query parameters from and to must be ADDRESS:PORT, or service=N");
  }
  const FlowKey& key = *parsed_key;
  const ViewPtr view = view_.view();
  const ServiceView* service = view == nullptr || view->sheet == nullptr
                                   ? nullptr
                                   : ServiceOf(*view, key);
  if (service == nullptr) {
    return ErrorResponse(
        kHttpNotFound,
        "no service in the sheet has this address, port and protocol");
  }
  if (service->table == nullptr) {
    return ErrorResponse(
        kHttpNotFound, "this VM has not received the table of the service yet");
  }
  return ExplainFlow(key, *service, *view);
}

HttpResponse Daemon::ExplainService(const HttpRequest& request) {
  int service = 0;
  int server = kNoServer;
  const std::string server_text = QueryParameter(request.target, "server");
  const bool valid =
      absl::SimpleAtoi(QueryParameter(request.target, "service"), &service) &&
      (server_text.empty() || absl::SimpleAtoi(server_text, &server));
  if (!valid) {
    return ErrorResponse(kHttpBadRequest,
                         "query parameters service and server must be numbers");
  }
  return JsonResponse(
      {{"recent",
        RecentEventsJson(history_, service, static_cast<ServerId>(server))}});
}

HttpResponse Daemon::ExplainFlow(const FlowKey& key, const ServiceView& service,
                                 const View& view) {
  const uint64_t fingerprint = Fingerprint(key, settings_.hash_key);
  const auto& buckets = service.table->buckets;
  const size_t index = BucketIndex(fingerprint, buckets.size());
  const Bucket& bucket = buckets[index];
  const Homes homes = HomesOf(fingerprint, view.homes);
  ServerId server = kNoServer;
  {
    FlowTable::Shard& shard = flows_.ShardOf(fingerprint);
    absl::MutexLock lock(&shard.mutex);
    const FlowEntry* entry = FindFlow(shard.flows, fingerprint, Now());
    if (entry != nullptr) server = entry->server;
  }
  return JsonResponse(
      {{"service", service.service->name},
       {"tenant", service.service->tenant},
       {"bucket", index},
       {"current", bucket.current},
       {"next", bucket.next == kNoServer ? json() : json(bucket.next)},
       {"oldest", bucket.oldest == kNoServer ? json() : json(bucket.oldest)},
       {"homes", {homes.first, homes.second}},
       {"known_here", server != kNoServer},
       {"generation", GenerationJson(service.table->generation)},
       {"rule", DescribeRule(bucket, server != kNoServer, server)},
       {"recent",
        RecentEventsJson(history_, service.service->number, server)}});
}

}  // namespace knapweedlift
