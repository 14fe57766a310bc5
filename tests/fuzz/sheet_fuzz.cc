#include <string>

#include "core/sheet/sheet_parser.h"
#include "core/sheet/vm_list.h"
#include "tests/fuzz/fiber_stack.h"

// Parsing any text as a sheet or as a list of VMs returns a result or an error.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace knapweedlift;
  const std::string text(reinterpret_cast<const char*>(data), size);
  fuzz::RunOnFiberStack([&text] {
    (void)ParseSheet({text});
    (void)ParseVmList(text);
  });
  return 0;
}
