#include "core/policy/view.h"

#include <algorithm>

namespace knapweedlift {

void IndexServices(View& view, const std::vector<std::string>& tenants) {
  view.by_address.clear();
  view.services.clear();
  if (view.sheet == nullptr) return;
  for (const Service& service : view.sheet->services) {
    const bool served =
        tenants.empty() || std::find(tenants.begin(), tenants.end(),
                                     service.tenant) != tenants.end();
    if (!served) continue;
    const ServiceAddress address{.endpoint = service.address,
                                 .protocol = service.protocol};
    view.by_address[address] = view.services.size();
    view.services.push_back({.service = &service, .table = nullptr});
  }
}

}  // namespace knapweedlift
