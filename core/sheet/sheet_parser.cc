#include "core/sheet/sheet_parser.h"

#include <algorithm>
#include <bit>
#include <map>
#include <set>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "core/packet/inner_packet.h"
#include "core/sheet/json_fields.h"
#include "core/sheet/json_text.h"

namespace knapweedlift {
namespace {

constexpr uint64_t kFormatVersion = 1;
constexpr uint64_t kMaxRevision = 1ULL << 53;
constexpr uint64_t kMaxVni = (1ULL << 24) - 1;
constexpr uint64_t kMaxSlots = 65'535;
constexpr uint64_t kMaxPort = 65'535;
constexpr uint64_t kDefaultGenevePort = 6081;
constexpr uint64_t kDefaultBuckets = 65'536;
constexpr uint64_t kDefaultIdleTimeoutS = 14'400;
constexpr uint64_t kMaxIdleTimeoutS = 604'800;
constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxFailureDomains = 64;

absl::StatusOr<nlohmann::json> ParseJson(const std::string& text) {
  if (text.size() > kMaxChunkBytes) {
    return MakeStatus(
        ResultCode::kSheetTooLarge,
        absl::StrCat("the input has ", text.size(),
                     " bytes; split the sheet into chunks of at most ",
                     kMaxChunkBytes));
  }
  return ParseJsonText(text, ResultCode::kSheetNotJson);
}

absl::StatusOr<BackendServer> ParseServer(const nlohmann::json& json,
                                          const std::string& path) {
  JsonFields fields(json, path);
  BackendServer server;
  server.number =
      static_cast<ServerId>(fields.Integer("number", 1, kMaxServerNumber));
  server.geneve_endpoint.address = fields.Address("address");
  server.geneve_endpoint.port = static_cast<uint16_t>(
      fields.OptionalInteger("geneve_port", 1, kMaxPort, kDefaultGenevePort));
  server.failure_domain = fields.String("domain", kMaxNameBytes);
  server.slots = static_cast<uint32_t>(fields.Integer("slots", 0, kMaxSlots));
  server.state = static_cast<ServerState>(
      fields.OneOf("state", {"active", "cold", "leaving"}));
  fields.RejectUnknownFields();
  if (!fields.ok()) return fields.status();
  if (server.slots == 0) {
    return MakeStatus(ResultCode::kSheetZeroSlots,
                      absl::StrCat(path,
                                   ".slots is 0; to drain the backend "
                                   "server, set its state to leaving"));
  }
  return server;
}

absl::Status ParseServers(const nlohmann::json& list, const std::string& path,
                          Service& service) {
  if (list.size() > kMaxServersPerService) {
    return MakeStatus(
        ResultCode::kSheetLimit,
        absl::StrCat(path, ".servers has ", list.size(), " entries; at most ",
                     kMaxServersPerService, " are supported"));
  }
  for (size_t i = 0; i < list.size(); ++i) {
    auto server = ParseServer(list[i], absl::StrCat(path, ".servers[", i, "]"));
    if (!server.ok()) return server.status();
    service.servers.push_back(*std::move(server));
  }
  std::sort(service.servers.begin(), service.servers.end());
  return absl::OkStatus();
}

absl::StatusOr<Service> ParseService(const nlohmann::json& json,
                                     const std::string& path) {
  JsonFields fields(json, path);
  Service service;
  service.number =
      static_cast<ServiceNumber>(fields.Integer("number", 1, kMaxVni));
  service.name = fields.String("name", kMaxNameBytes);
  service.tenant = fields.String("tenant", kMaxNameBytes);
  service.address.address = fields.Address("address");
  service.address.port =
      static_cast<uint16_t>(fields.Integer("port", 1, kMaxPort));
  const bool udp = fields.OneOf("protocol", {"tcp", "udp"}) == 1;
  service.protocol = udp ? kProtocolUdp : kProtocolTcp;
  service.vni = static_cast<uint32_t>(fields.Integer("vni", 1, kMaxVni));
  service.buckets = static_cast<uint32_t>(fields.OptionalInteger(
      "buckets", kMinBuckets, kMaxBuckets, kDefaultBuckets));
  service.idle_timeout_s = static_cast<uint32_t>(fields.OptionalInteger(
      "idle_timeout_s", 1, kMaxIdleTimeoutS, kDefaultIdleTimeoutS));
  const nlohmann::json& servers = fields.Array("servers");
  fields.RejectUnknownFields();
  if (!fields.ok()) return fields.status();
  if (!std::has_single_bit(service.buckets)) {
    return MakeStatus(
        ResultCode::kSheetBucketCount,
        absl::StrCat(path, ".buckets must be a power of two, got ",
                     service.buckets));
  }
  absl::Status status = ParseServers(servers, path, service);
  if (!status.ok()) return status;
  return service;
}

// Parses one chunk and appends its failure domains and services to `sheet`.
absl::Status AddChunk(const std::string& text, size_t index, size_t count,
                      Sheet& sheet) {
  const auto json = ParseJson(text);
  if (!json.ok()) return json.status();
  JsonFields fields(*json, "sheet");
  fields.Integer("format", kFormatVersion, kFormatVersion);
  const uint64_t revision = fields.Integer("revision", 1, kMaxRevision);
  const uint64_t chunk = fields.OptionalInteger("chunk", 0, kMaxChunks - 1, 0);
  const uint64_t chunks = fields.OptionalInteger("chunks", 1, kMaxChunks, 1);
  const nlohmann::json& failure_domains = fields.Array("failure_domains");
  const nlohmann::json& services = fields.Array("services");
  fields.RejectUnknownFields();
  if (!fields.ok()) return fields.status();
  const bool in_order = chunk == index && chunks == count &&
                        (index == 0 || revision == sheet.revision);
  if (!in_order) {
    return MakeStatus(ResultCode::kSheetField,
                      "sheet.chunk, .chunks and .revision must be consistent "
                      "across all chunks; export the sheet again");
  }
  sheet.revision = revision;
  for (const nlohmann::json& domain : failure_domains) {
    if (!domain.is_string() || domain.get<std::string>().empty()) {
      return MakeStatus(
          ResultCode::kSheetField,
          "sheet.failure_domains must contain only non-empty strings");
    }
    sheet.failure_domains.push_back(domain.get<std::string>());
  }
  for (size_t i = 0; i < services.size(); ++i) {
    auto service =
        ParseService(services[i], absl::StrCat("sheet.services[", i, "]"));
    if (!service.ok()) return service.status();
    sheet.services.push_back(*std::move(service));
  }
  return absl::OkStatus();
}

std::string DescribeService(const Service& service) {
  return absl::StrCat("service ", service.number, " (", service.name, ")");
}

absl::Status CheckServers(const Service& service,
                          const std::set<std::string>& failure_domains) {
  std::set<ServerId> numbers;
  std::set<Endpoint> endpoints;
  for (const BackendServer& server : service.servers) {
    const std::string name = absl::StrCat(DescribeService(service),
                                          ", backend server ", server.number);
    if (!numbers.insert(server.number).second ||
        !endpoints.insert(server.geneve_endpoint).second) {
      return MakeStatus(
          ResultCode::kSheetDuplicateServer,
          absl::StrCat(name, " at ", FormatEndpoint(server.geneve_endpoint),
                       " is listed twice; remove one of the entries"));
    }
    if (!failure_domains.contains(server.failure_domain)) {
      return MakeStatus(
          ResultCode::kSheetUnknownDomain,
          absl::StrCat(name, ": failure domain \"", server.failure_domain,
                       "\" is not in failure_domains; add or correct it"));
    }
  }
  return absl::OkStatus();
}

absl::Status CheckServices(const Sheet& sheet) {
  std::set<ServiceNumber> numbers;
  std::set<uint32_t> vnis;
  std::set<std::tuple<Endpoint, uint8_t>> addresses;
  const std::set<std::string> failure_domains(sheet.failure_domains.begin(),
                                              sheet.failure_domains.end());
  for (const Service& service : sheet.services) {
    if (!numbers.insert(service.number).second) {
      return MakeStatus(ResultCode::kSheetDuplicateService,
                        absl::StrCat(DescribeService(service),
                                     ": the number belongs to another service; "
                                     "give each service a unique number"));
    }
    if (!vnis.insert(service.vni).second) {
      return MakeStatus(
          ResultCode::kSheetDuplicateVni,
          absl::StrCat(DescribeService(service), ": VNI ", service.vni,
                       " belongs to another service"));
    }
    if (!addresses.insert({service.address, service.protocol}).second) {
      return MakeStatus(ResultCode::kSheetAddressOverlap,
                        absl::StrCat(DescribeService(service), ": ",
                                     FormatEndpoint(service.address),
                                     " belongs to another service"));
    }
    absl::Status status = CheckServers(service, failure_domains);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<size_t> SheetChunkCount(const std::string& text) {
  const auto json = ParseJson(text);
  if (!json.ok()) return json.status();
  JsonFields fields(*json, "sheet");
  const size_t chunks = fields.OptionalInteger("chunks", 1, kMaxChunks, 1);
  if (!fields.ok()) return fields.status();
  return chunks;
}

absl::StatusOr<Sheet> ParseSheet(const std::vector<std::string>& chunks) {
  if (chunks.empty()) {
    return MakeStatus(ResultCode::kSheetNotJson, "the sheet is empty");
  }
  Sheet sheet;
  for (size_t i = 0; i < chunks.size(); ++i) {
    absl::Status status = AddChunk(chunks[i], i, chunks.size(), sheet);
    if (!status.ok()) return status;
  }
  if (sheet.services.size() > kMaxServices ||
      sheet.failure_domains.size() > kMaxFailureDomains) {
    return MakeStatus(
        ResultCode::kSheetLimit,
        absl::StrCat("the sheet has more than ", kMaxServices, " services or ",
                     kMaxFailureDomains, " failure domains"));
  }
  std::sort(sheet.services.begin(), sheet.services.end());
  absl::Status status = CheckServices(sheet);
  if (!status.ok()) return status;
  return sheet;
}

absl::Status CheckSheetChange(const Sheet& current, const Sheet& next) {
  if (next.revision <= current.revision) {
    return MakeStatus(
        ResultCode::kSheetRevisionNotNewer,
        absl::StrCat("sheet.revision is ", next.revision, ", but revision ",
                     current.revision,
                     " is in force; export the sheet with a higher revision"));
  }
  std::map<uint32_t, ServiceNumber> vni_owner;
  for (const Service& service : current.services) {
    vni_owner[service.vni] = service.number;
  }
  for (const Service& service : next.services) {
    const auto owner = vni_owner.find(service.vni);
    if (owner != vni_owner.end() && owner->second != service.number) {
      return MakeStatus(
          ResultCode::kSheetVniReused,
          absl::StrCat(DescribeService(service), ": VNI ", service.vni,
                       " belonged to service ", owner->second,
                       "; choose a VNI that was never used"));
    }
    const Service* previous = FindService(current, service.number);
    if (previous == nullptr) continue;
    if (previous->buckets != service.buckets) {
      return MakeStatus(ResultCode::kSheetBucketCount,
                        absl::StrCat(DescribeService(service), ": buckets was ",
                                     previous->buckets,
                                     " and cannot change; add a new service "
                                     "instead"));
    }
  }
  return absl::OkStatus();
}

}  // namespace knapweedlift
