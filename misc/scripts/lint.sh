#!/usr/bin/env bash
# Checks the format, the linter's rules and the rule of dependencies. Needs a
# build directory for the compiler's flags.
set -uo pipefail
cd "$(dirname "$0")/../.."
misc/scripts/install.sh clang-format clang-tidy
build_directory=${BUILD_DIRECTORY:-build}
mapfile -t files < <(git ls-files '*.cc' '*.h' | grep -v '^drivers/gen/')
mapfile -t tidy_files < <(git ls-files 'core/*.cc' 'drivers/*.cc' 'servers/*.cc' 'platform/*.cc' 'main/*.cc' 'lab/*.cc' | grep -v -e easylogging.cc -e '^drivers/gen/')
failed=0
clang-format --dry-run -Werror "${files[@]}" || failed=1
# core knows nothing of drivers, drivers nothing of servers, servers nothing of main.
forbid_includes() {
  if grep -nE "#include \"($2)/" -r "$1" --include='*.cc' --include='*.h'; then
    echo "$1 must not include $2"
    failed=1
  fi
}
forbid_includes core 'drivers|servers|platform|main|lab'
forbid_includes drivers 'servers|platform|main|lab'
forbid_includes servers 'platform|main|lab'
forbid_includes platform 'servers|main|lab'
forbid_includes main 'lab'
# The platform is reached through one interface, and its words stay behind it.
if grep -nE '#include "platform/' -r main --include='*.cc' --include='*.h' | grep -v '"platform/platform.h"'; then
  echo "main includes platform/platform.h alone"
  failed=1
fi
platform_names=$(sed -n 's/.*\[\] = "\(.*\)";.*/\1/p' platform/names.h | grep -E '[a-z][A-Z]|[-/]' | sort -u | paste -sd'|')
if grep -nE "\"[^\"]*($platform_names)" -r core drivers servers main --include='*.cc' --include='*.h' | grep -v '#include'; then
  echo "the platform's words belong into platform/names.h"
  failed=1
fi
long_files=$(wc -l "${files[@]}" | awk '$2 != "total" && $1 > 500')
[ -z "$long_files" ] || { echo "files above 500 lines: $long_files"; failed=1; }
printf '%s\n' "${tidy_files[@]}" |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$build_directory" --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null || failed=1
exit "$failed"
