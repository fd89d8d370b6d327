#!/bin/sh
# Formatter check on all files, then clang-tidy on every translation unit of src, tests and bench.
# clang-tidy can't read the compiler's precompiled header, so it gets a configuration without one.
set -eu
sh cmake/check-boundary.sh
files() {
    git ls-files "$@" | grep -v '/generated/'
}
files '*.h' '*.cpp' | xargs clang-format --dry-run -Werror
cmake --preset release -B build-lint -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
log=$(mktemp)
trap 'rm -f "$log"' EXIT
files '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p build-lint --quiet >"$log" 2>&1 || {
    grep -v 'warnings generated' "$log"
    exit 1
}
