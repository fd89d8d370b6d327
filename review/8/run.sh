#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -eu
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -x target/src/snipehilld ] || [ ! -x target/review-2/crashpart ]; then
    echo "build the deploy file and review/build-2.sh first"
    exit 2
fi
exec target/review-2/crashpart "$folder/record.txt"
