#!/bin/sh
# Checks the boundary of platform/, the use of the JSON parser and the format of all files, then runs clang-tidy on every translation unit.
# clang-tidy can't read the compiler's precompiled header, so it uses a build directory configured without one.
set -eu
sh cmake/check-boundary.sh
sh cmake/check-json.sh
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
