#!/bin/sh
# Fails if wire names of the users' platform occur in src/ or bench/. They belong in platform/; deploy files, stand-ins and
# the tests of the adapter may use them too.
set -eu
names='Attempt-Id|Server-Seal|Not-Executed|Expect-Instance|Prompt-Prefix|Token-Counts|Kv-(Source|Fetch|Hold|Backup)|Serving-Stage|Duty-Holder|Fencing-Token|Request-Urgency|Weight-Versions|keyed\.(op|servers)|/api/(log-|report|order|ready|kv-|hold-)|SNIPEHILL_SETTINGS'
if git grep -nE "$names" -- 'src/*' 'bench/*'; then
    echo "names of the platform outside platform/" >&2
    exit 1
fi
echo "platform/: $(git ls-files 'platform/*.h' 'platform/*.cpp' | xargs cat | wc -l) lines"
