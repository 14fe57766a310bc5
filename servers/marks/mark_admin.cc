#include "servers/marks/mark_admin.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/fleet/watcher_election.h"
#include "core/placement/explain.h"
#include "drivers/clock.h"
#include "servers/admin_responses.h"

namespace knapweedlift {
namespace {

using nlohmann::json;

const char* StateName(const ServerTarget& server) {
  if (server.replaced) return "replaced";
  if (server.removal_held) return "held";
  if (server.unlisted) return "gone";
  if (server.confirmed_down) return "silent";
  if (server.suspect) return "suspect";
  if (server.fact.draining) return "draining";
  return server.evacuated ? "evacuated" : "ready";
}

int64_t FactsAgeMs(const MarkAdminContext& context, TimePoint now) {
  return FactsAge(context.messenger.state().confirmed_at, now).count();
}

json ServerJson(const ServerTarget& server, TimePoint now) {
  return {{"name", server.fact.name},
          {"service", server.fact.service},
          {"address", FormatEndpoint(server.fact.endpoint)},
          {"domain", server.fact.domain},
          {"state", StateName(server)},
          {"slots", server.fact.slots},
          {"cold", now < server.fact.cold_until},
          {"mark", server.fact.mark},
          {"expected_requests", server.load->expected_requests.load()},
          {"slowdown", server.load->slowdown.load()}};
}

json ServersJson(const MarkAdminContext& context, TimePoint now) {
  json servers = json::array();
  const MarkViewPtr view = context.view.view();
  if (view == nullptr) return servers;
  const auto traffic = context.flows.Traffic();
  for (const ServerTarget& server : view->servers) {
    json entry = ServerJson(server, now);
    const auto found = traffic.find(server.fact.mark);
    const bool seen = found != traffic.end();
    entry["flows_seen_here"] = seen ? found->second.flows : 0;
    entry["callers_waiting_here"] = seen ? found->second.waiting : 0;
    servers.push_back(entry);
  }
  return servers;
}

json VmsJson(const MarkAdminContext& context, TimePoint now) {
  json vms = json::array();
  for (const auto& [id, member] : context.messenger.state().members) {
    vms.push_back({{"id", id},
                   {"address", FormatEndpoint(member.address.control)},
                   {"domain", member.address.domain},
                   {"phase", PhaseName(member.heartbeat.phase)},
                   {"suspect", now >= member.suspect_after}});
  }
  return vms;
}

size_t CountEvacuatedDomains(const MarkAdminContext& context) {
  const auto& evacuations = context.registry.evacuations;
  return std::count_if(evacuations.begin(), evacuations.end(),
                       [](const auto& item) { return !item.second.removed; });
}

HttpResponse StatusResponse(const MarkAdminContext& context) {
  const TimePoint now = Now();
  const FleetState& fleet = context.messenger.state();
  return JsonResponse(
      {{"transport", "marks"},
       {"vm", context.name},
       {"domain", fleet.self.domain},
       {"phase", PhaseName(fleet.phase)},
       {"revision", context.registry.as_of.number},
       {"era", context.registry.as_of.era},
       {"config_version", context.registry.limits.limits.version},
       {"evacuated_domains", CountEvacuatedDomains(context)},
       {"facts_digest", context.registry.digest},
       {"facts_confirmed_ms_ago", FactsAgeMs(context, now)},
       {"fresh", FactsAreFresh(fleet, now)},
       {"watching", fleet.watching},
       {"views_made", context.views_published},
       {"platform", context.watcher.platform_status()},
       {"platform_calls", context.watcher.call_count()},
       {"control_sent_bytes", context.messenger.sent_bytes()},
       {"control_received_bytes", context.messenger.received_bytes()},
       {"routes",
        std::count_if(context.registry.routes.begin(),
                      context.registry.routes.end(),
                      [](const auto& item) { return !item.second.removed; })},
       {"servers", ServersJson(context, now)},
       {"vms", VmsJson(context, now)}});
}

// Adds the tracked state of a flow to `answer`. Returns the index of its
// server, or an index beyond the servers of the view if the flow or its mark is
// unknown.
ServerIndex ExplainTrackedFlow(const MarkAdminContext& context,
                               const MarkView& view, const FlowKey& key,
                               TimePoint now, json& answer) {
  const uint64_t fingerprint = Fingerprint(key, context.hash_key);
  MarkedFlowTable::Shard& shard = context.flows.ShardOf(fingerprint);
  absl::MutexLock lock(&shard.mutex);
  const MarkedFlow* flow = FindMarkedFlow(shard.map, fingerprint);
  answer["known_here"] = flow != nullptr;
  if (flow == nullptr) return kNoServerIndex;
  answer["reason"] = std::string(ResultCodeName(flow->placement.reason));
  answer["code"] = static_cast<int>(flow->placement.reason);
  answer["facts_revision"] = flow->placement.revision.number;
  answer["facts_era"] = flow->placement.revision.era;
  answer["facts_age_ms"] = flow->placement.facts_age.count();
  answer["last_packet_ms_ago"] = (now - flow->last_seen).count();
  answer["waiting"] = flow->waiting_since != TimePoint::max();
  return FindServerOfFlow(view, flow->mark);
}

json CandidateJson(const MarkView& view, const ExplainedCandidate& candidate,
                   TimePoint now) {
  const ServerTarget& server = view.servers[candidate.server];
  json entry = ServerJson(server, now);
  entry["state"] = std::string(CandidateStateName(candidate.state));
  entry["local"] = server.local;
  entry["excluded_by"] = std::string(ExclusionRuleName(candidate.excluded_by));
  entry["cost"] = nullptr;
  if (candidate.cost.has_value()) entry["cost"] = *candidate.cost;
  return entry;
}

// The verdict of admission, with its inputs if admission is enabled.
json AdmissionJson(const MarkAdminContext& context,
                   const PlacementExplanation& explanation, TimePoint now) {
  if (!explanation.admission.has_value()) return nullptr;
  const ExplainedAdmission& verdict = *explanation.admission;
  json entry = {{"admitted", verdict.admitted},
                {"class", verdict.admission_class},
                {"share", verdict.share}};
  const std::vector<AdmissionState>& states = context.admission.states();
  entry["enabled"] = *explanation.service_index < states.size();
  if (*explanation.service_index >= states.size()) return entry;
  const AdmissionState& state = states[*explanation.service_index];
  entry["waiting_per_slot"] = state.pressure;
  entry["own_waiting_per_slot"] = state.own_pressure;
  entry["served_per_second"] = state.served_rate;
  entry["arrivals_per_second"] = state.arrival_rates;
  entry["updated_ms_ago"] = (now - state.updated_at).count();
  return entry;
}

json PlacementJson(const MarkAdminContext& context, const MarkView& view,
                   const PlacementExplanation& explanation, TimePoint now) {
  const std::vector<std::string>& names = context.memory.service_names;
  const bool named = explanation.service_index.has_value() &&
                     *explanation.service_index < names.size();
  json candidates = json::array();
  for (const ExplainedCandidate& candidate : explanation.candidates) {
    candidates.push_back(CandidateJson(view, candidate, now));
  }
  return {{"service", named ? names[*explanation.service_index] : ""},
          {"admission", AdmissionJson(context, explanation, now)},
          {"candidates", candidates}};
}

// The flow of a query whose caller may be left out.
std::optional<FlowKey> MarkedFlowKey(const HttpRequest& request) {
  if (!QueryParameter(request.target, "from").empty()) {
    return FlowKeyFromQuery(request);
  }
  const auto target = ParseEndpoint(QueryParameter(request.target, "to"));
  if (!target.has_value()) return {};
  return FlowKey{.destination = target->address,
                 .destination_port = target->port};
}

HttpResponse ExplainResponse(const MarkAdminContext& context,
                             const HttpRequest& request) {
  auto key = MarkedFlowKey(request);
  if (!key.has_value()) {
    return ErrorResponse(
        kHttpBadRequest,
        "query parameters to, and from if it is given, must be ADDRESS:PORT");
  }
  // Keys of flows with marks have no protocol number.
  key->protocol = 0;
  const MarkViewPtr view = context.view.view();
  if (view == nullptr) {
    return ErrorResponse(
        kHttpNotFound,
        "no view yet: this VM has not read any servers or routes");
  }
  const TimePoint now = Now();
  const auto route = view->routes->by_address.find(
      {.address = key->destination, .port = key->destination_port});
  json answer = {{"route", route != view->routes->by_address.end()},
                 {"revision", view->as_of.number},
                 {"era", view->as_of.era},
                 {"facts_confirmed_ms_ago", FactsAgeMs(context, now)}};
  ServerIndex server = ExplainTrackedFlow(context, *view, *key, now, answer);
  if (server >= view->servers.size()) {
    // No server is known for the flow, so the answer describes a new SYN.
    const PlacementExplanation explanation =
        ExplainNewFlow(*view, *key, Fingerprint(*key, context.hash_key), now);
    answer["new_flow_would_be"] =
        std::string(ResultCodeName(explanation.decision.reason));
    answer["placement"] = PlacementJson(context, *view, explanation, now);
    server = explanation.decision.server;
  }
  if (server < view->servers.size()) {
    answer["server"] = ServerJson(view->servers[server], now);
  }
  return JsonResponse(answer);
}

void AddServerAndFlowGauges(const MarkAdminContext& context,
                            std::vector<Gauge>& gauges) {
  const MarkViewPtr view = context.view.view();
  if (view == nullptr) return;
  std::map<std::string, int> states;
  double slow_servers = 0;
  for (const ServerTarget& server : view->servers) {
    ++states[StateName(server)];
    slow_servers += server.load->slowdown.load() > 1 ? 1 : 0;
  }
  gauges.push_back({"knapweedlift_slow_servers", "", slow_servers});
  for (const auto& [state, count] : states) {
    gauges.push_back({"knapweedlift_servers",
                      absl::StrCat("state=\"", state, "\""),
                      static_cast<double>(count)});
  }
  double flows = 0;
  double waiting = 0;
  for (const auto& [mark, traffic] : context.flows.Traffic()) {
    flows += traffic.flows;
    waiting += traffic.waiting;
  }
  gauges.push_back({"knapweedlift_flows", "", flows});
  gauges.push_back({"knapweedlift_callers_waiting", "", waiting});
}

// Classes without new flows are left out.
void AddAdmissionGauges(const MarkAdminContext& context,
                        std::vector<Gauge>& gauges) {
  for (size_t i = 0; i < context.admission.states().size(); ++i) {
    const AdmissionState& state = context.admission.states()[i];
    const AdmissionGate& gate = *context.memory.admission[i];
    const std::string service =
        absl::StrCat("service=\"", context.memory.service_names[i], "\"");
    gauges.push_back(
        {"knapweedlift_admission_waiting_per_slot", service, state.pressure});
    gauges.push_back({"knapweedlift_admission_served_per_second", service,
                      state.served_rate});
    for (size_t j = 0; j < kAdmissionClasses; ++j) {
      const auto admitted = static_cast<double>(gate.admitted[j].load());
      const auto refused = static_cast<double>(gate.refused[j].load());
      if (admitted + refused == 0) continue;
      const std::string labels = absl::StrCat(service, ",priority=\"", j, "\"");
      gauges.push_back(
          {"knapweedlift_admission_admitted_total", labels, admitted});
      gauges.push_back(
          {"knapweedlift_admission_refused_total", labels, refused});
      gauges.push_back(
          {"knapweedlift_admission_share", labels, state.shares[j]});
    }
  }
}

void AddHeldCopyGauges(const HeldCopyCounts& counts,
                       std::vector<Gauge>& gauges) {
  for (const auto& [outcome, count] :
       {std::pair("resolved", counts.resolved),
        std::pair("unknown", counts.unknown),
        std::pair("timed_out", counts.timed_out)}) {
    gauges.push_back({"knapweedlift_held_copies_total",
                      absl::StrCat("outcome=\"", outcome, "\""),
                      static_cast<double>(count)});
  }
}

HttpResponse PrometheusResponse(const MarkAdminContext& context) {
  const TimePoint now = Now();
  const FleetState& fleet = context.messenger.state();
  const auto to_double = [](auto value) { return static_cast<double>(value); };
  std::vector<Gauge> gauges = {
      {"knapweedlift_revision", "", to_double(context.registry.as_of.number)},
      {"knapweedlift_era", "", to_double(context.registry.as_of.era)},
      {"knapweedlift_eras_begun_total", "", to_double(context.eras_begun)},
      {"knapweedlift_config_version", "",
       to_double(context.registry.limits.limits.version)},
      {"knapweedlift_evacuated_domains", "",
       to_double(CountEvacuatedDomains(context))},
      {"knapweedlift_facts_age_milliseconds", "",
       to_double(FactsAgeMs(context, now))},
      {"knapweedlift_watching", "", fleet.watching ? 1.0 : 0.0},
      {"knapweedlift_platform_calls_total", "",
       to_double(context.watcher.call_count())},
      {"knapweedlift_checks_total", "",
       to_double(context.health.check_count())},
      {"knapweedlift_views_made_total", "", to_double(context.views_published)},
      {"knapweedlift_domain_peers", "", to_double(CountLivePeers(fleet, now))},
      {"knapweedlift_vms", "", to_double(fleet.members.size())},
      {"knapweedlift_control_sent_bytes_total", "",
       to_double(context.messenger.sent_bytes())},
      {"knapweedlift_control_received_bytes_total", "",
       to_double(context.messenger.received_bytes())},
      {"knapweedlift_facts_differences_total", "",
       to_double(fleet.repair.count)},
      {"knapweedlift_bad_peer_messages_total", "",
       to_double(context.messenger.bad_messages())},
  };
  const ColdFlowCounts& cold_flows = context.forwarder.cold_flows();
  gauges.push_back({"knapweedlift_cold_flows_placed_total", "",
                    to_double(cold_flows.placed.load())});
  gauges.push_back({"knapweedlift_cold_servers_skipped_total", "",
                    to_double(cold_flows.skipped.load())});
  for (const auto& [kind, count] : context.suppressed_lines) {
    gauges.push_back({"knapweedlift_log_lines_left_out_total",
                      absl::StrCat("kind=\"", kind, "\""), to_double(count)});
  }
  for (const auto& [event, count] : context.dropped_lines) {
    gauges.push_back({"knapweedlift_log_lines_dropped_total",
                      absl::StrCat("event=\"", event, "\""), to_double(count)});
  }
  AddHeldCopyGauges(context.copies.counts(), gauges);
  AddServerAndFlowGauges(context, gauges);
  AddAdmissionGauges(context, gauges);
  const auto labels = [&context](ServiceNumber service) {
    const bool known = service < context.memory.service_names.size();
    return absl::StrCat(
        "service=\"", known ? context.memory.service_names[service] : "", "\"");
  };
  std::string text =
      PrometheusText(context.forwarder.metrics(), labels, gauges);
  context.watcher.call_ms().AppendPrometheus(
      "knapweedlift_platform_call_milliseconds", "", text);
  context.publish_delay_ms.AppendPrometheus(
      "knapweedlift_fact_to_force_milliseconds", "", text);
  return MetricsResponse(std::move(text));
}

}  // namespace

HttpResponse HandleMarkAdminRequest(const MarkAdminContext& context,
                                    const HttpRequest& request) {
  const std::string path = RequestPath(request.target);
  if (path == "/metrics") return PrometheusResponse(context);
  if (path == "/v1/status") return StatusResponse(context);
  if (path == "/v1/explain") return ExplainResponse(context, request);
  return ErrorResponse(kHttpNotFound,
                       "unknown path; use /metrics, /v1/status or /v1/explain");
}

}  // namespace knapweedlift
