#!/usr/bin/env bash
# Checks formatting, file lengths, include dependencies between folders, and
# clang-tidy rules. Requires a configured build directory, from which clang-tidy
# reads the compile commands.
set -uo pipefail
cd "$(dirname "$0")/../.."
misc/scripts/install.sh clang-format clang-tidy
build_directory=${BUILD_DIRECTORY:-build}
mapfile -t files < <(git ls-files '*.cc' '*.h' | grep -v '^drivers/gen/')
mapfile -t tidy_files < <(git ls-files 'core/*.cc' 'drivers/*.cc' 'servers/*.cc' 'platform/*.cc' 'main/*.cc' 'lab/*.cc' | grep -v -e easylogging.cc -e '^drivers/gen/')
failed=0
clang-format --dry-run -Werror "${files[@]}" || failed=1
# Fails if folder $1 includes a header of one of the folders in the pattern $2.
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
# main uses the platform only through platform/platform.h, and names of the
# platform's protocol appear only in platform/.
if grep -nE '#include "platform/' -r main --include='*.cc' --include='*.h' | grep -v '"platform/platform.h"'; then
  echo "main must include no header of platform other than platform/platform.h"
  failed=1
fi
platform_names=$(sed -n 's/.*\[\] = "\(.*\)";.*/\1/p' platform/names.h | grep -E '[a-z][A-Z]|[-/]' | sort -u | paste -sd'|')
if grep -nE "\"[^\"]*($platform_names)" -r core drivers servers main --include='*.cc' --include='*.h' | grep -v '#include'; then
  echo "names of the platform's protocol must be declared in platform/names.h"
  failed=1
fi
long_files=$(wc -l "${files[@]}" | awk '$2 != "total" && $1 > 500')
[ -z "$long_files" ] || { echo "files longer than 500 lines: $long_files"; failed=1; }
printf '%s\n' "${tidy_files[@]}" |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$build_directory" --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null || failed=1
exit "$failed"
