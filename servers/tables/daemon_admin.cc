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

json OrderJson(const GenerationId& order) {
  return {{"revision", order.revision},
          {"sequence", order.sequence},
          {"maker", order.coordinator}};
}

std::map<ServerId, size_t> BucketShares(const BucketTable& table) {
  std::map<ServerId, size_t> shares;
  for (const Bucket& bucket : table.buckets) ++shares[bucket.current];
  return shares;
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
  json answer = {{"number", service.number},
                 {"name", service.name},
                 {"tenant", service.tenant},
                 {"address", FormatEndpoint(service.address)}};
  if (control.table == nullptr) {
    answer["table"] = "waiting for a peer's table";
    return answer;
  }
  const TableSummary summary = Summarize(*control.table);
  answer["generation"] = OrderJson(control.table->generation);
  answer["buckets"] = {{"all", control.table->buckets.size()},
                       {"stable", summary.stable},
                       {"pending", summary.pending},
                       {"ambiguous", summary.ambiguous},
                       {"closing", summary.closing}};
  const auto shares = BucketShares(*control.table);
  for (const BackendServer& server : service.servers) {
    const auto share = shares.find(server.number);
    const auto count = counts.find({service.number, server.number});
    answer["servers"].push_back(
        {{"number", server.number},
         {"address", FormatEndpoint(server.geneve_endpoint)},
         {"state", ServerStateName(server.state)},
         {"buckets", share == shares.end() ? 0 : share->second},
         {"flows_seen_here", count == counts.end() ? 0 : count->second}});
  }
  return answer;
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

std::string Labels(const SheetPtr& sheet, ServiceNumber number) {
  const Service* service =
      sheet == nullptr ? nullptr : FindService(*sheet, number);
  if (service == nullptr) return absl::StrCat("service=\"", number, "\"");
  return absl::StrCat("tenant=\"", service->tenant, "\",service=\"",
                      service->name, "\"");
}

// The rule that a packet in mid-flow of this bucket would meet.
std::string RuleText(const Bucket& bucket, bool known, ServerId server) {
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

HttpResponse Daemon::Answer(const HttpRequest& request) {
  const std::string path = RequestPath(request.target);
  if (path == "/metrics") return AnswerMetrics();
  if (path == "/v1/status") return AnswerStatus();
  if (path == "/v1/explain") return AnswerExplain(request);
  return ErrorResponse(kHttpNotFound,
                       "use /metrics, /v1/status or /v1/explain");
}

HttpResponse Daemon::AnswerMetrics() {
  const auto number = [](auto value) { return static_cast<double>(value); };
  const uint64_t revision =
      control_.sheet == nullptr ? 0 : control_.sheet->revision;
  std::vector<Gauge> gauges = {
      {"knapweedlift_sheet_revision", "", number(revision)},
      {"knapweedlift_flows", "", number(flows_.Size())},
      {"knapweedlift_control_sent_bytes_total", "",
       number(queue_.sent_bytes())},
      {"knapweedlift_control_received_bytes_total", "",
       number(received_bytes_)},
      {"knapweedlift_control_discarded_total", "", number(queue_.discarded())},
      {"knapweedlift_peer_messages_bad_total", "", number(bad_messages_)},
      {"knapweedlift_fresh", "", IsFresh(control_, Now()) ? 1.0 : 0.0},
  };
  const auto labels = [this](ServiceNumber number) {
    return Labels(control_.sheet, number);
  };
  return MetricsResponse(PrometheusText(forwarder_.metrics(), labels, gauges));
}

HttpResponse Daemon::AnswerStatus() {
  const TimePoint now = Now();
  json answer = {{"vm", settings_.self.id},
                 {"domain", settings_.self.domain},
                 {"phase", PhaseName(control_.phase)},
                 {"fresh", IsFresh(control_, now)},
                 {"platform", sheet_verdict_},
                 {"flows", flows_.Size()},
                 {"control_sent_bytes", queue_.sent_bytes()},
                 {"control_received_bytes", received_bytes_},
                 {"services", json::array()},
                 {"vms", json::array()}};
  answer["sheet_revision"] =
      control_.sheet == nullptr ? 0 : control_.sheet->revision;
  for (const auto& [id, member] : control_.members) {
    answer["vms"].push_back({{"id", id},
                             {"domain", member.address.domain},
                             {"phase", PhaseName(member.heartbeat.phase)},
                             {"suspect", now >= member.suspect_after},
                             {"listed", member.listed}});
  }
  if (control_.sheet == nullptr) return JsonResponse(answer);
  const FlowCounts counts = CountFlows(flows_, now);
  for (const Service& service : control_.sheet->services) {
    answer["services"].push_back(
        ServiceJson(service, control_.services[service.number], counts));
  }
  return JsonResponse(answer);
}

HttpResponse Daemon::AnswerExplain(const HttpRequest& request) {
  if (!QueryParameter(request.target, "service").empty()) {
    return ExplainService(request);
  }
  const auto asked = FlowKeyFromQuery(request);
  if (!asked.has_value()) {
    return ErrorResponse(
        kHttpBadRequest,
        "give from=ADDRESS:PORT and to=ADDRESS:PORT, or service=N");
  }
  const FlowKey& key = *asked;
  const ViewPtr view = view_.view();
  const ServiceView* service = view == nullptr || view->sheet == nullptr
                                   ? nullptr
                                   : ServiceOf(*view, key);
  if (service == nullptr) {
    return ErrorResponse(kHttpNotFound,
                         "no service has this address, port and protocol");
  }
  if (service->table == nullptr) {
    return ErrorResponse(kHttpNotFound,
                         "this VM still waits for a peer's table");
  }
  return ExplainFlow(key, *service, *view);
}

HttpResponse Daemon::ExplainService(const HttpRequest& request) {
  int service = 0;
  int server = kNoServer;
  const std::string server_text = QueryParameter(request.target, "server");
  const bool good =
      absl::SimpleAtoi(QueryParameter(request.target, "service"), &service) &&
      (server_text.empty() || absl::SimpleAtoi(server_text, &server));
  if (!good) {
    return ErrorResponse(kHttpBadRequest, "service and server are numbers");
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
       {"generation", OrderJson(service.table->generation)},
       {"rule", RuleText(bucket, server != kNoServer, server)},
       {"recent",
        RecentEventsJson(history_, service.service->number, server)}});
}

}  // namespace knapweedlift
