#include "core/sheet/vm_list.h"

#include <limits>

#include "absl/strings/str_cat.h"
#include "core/sheet/json_fields.h"
#include "core/sheet/json_text.h"

namespace knapweedlift {
namespace {

constexpr uint64_t kMaxRevision = 1ULL << 53;
constexpr uint64_t kMaxPort = 65'535;
constexpr size_t kMaxNameBytes = 64;

absl::StatusOr<ListedVm> ParseVm(const nlohmann::json& json,
                                 const std::string& path) {
  JsonFields fields(json, path);
  ListedVm vm;
  vm.address.id = static_cast<VmId>(
      fields.Integer("id", 1, std::numeric_limits<VmId>::max()));
  const IpAddress address = fields.Address("address");
  vm.address.control = {.address = address,
                        .port = static_cast<uint16_t>(
                            fields.Integer("control_port", 1, kMaxPort))};
  vm.address.data = {
      .address = address,
      .port = static_cast<uint16_t>(fields.Integer("data_port", 1, kMaxPort))};
  vm.address.domain = fields.String("domain", kMaxNameBytes);
  vm.leaving = fields.OneOf("state", {"live", "leaving"}) == 1;
  if (!fields.ok()) return fields.status();
  return vm;
}

}  // namespace

absl::StatusOr<VmList> ParseVmList(const std::string& text) {
  const auto json = ParseJsonText(text, ResultCode::kPlatformAnswer);
  if (!json.ok()) return json.status();
  JsonFields fields(*json, "vms");
  VmList list;
  list.revision = fields.Integer("revision", 0, kMaxRevision);
  const nlohmann::json& vms = fields.Array("vms");
  if (!fields.ok()) return fields.status();
  for (size_t i = 0; i < vms.size(); ++i) {
    auto vm = ParseVm(vms[i], absl::StrCat("vms[", i, "]"));
    if (!vm.ok()) return vm.status();
    list.vms.push_back(*std::move(vm));
  }
  return list;
}

}  // namespace knapweedlift
