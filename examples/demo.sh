#!/bin/sh
# Runs stand-ins, two entries and three sidecars on loopback, sends four requests and stops all processes.
# Usage: demo.sh [BUILD_DIR]
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
demo=examples/demo
work=$(mktemp -d)
daemons=
stand_ins=

stop() { # PID...
    for pid in "$@"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "$@"; do
        wait "$pid" 2>/dev/null || true
    done
}

# Sidecars stop before the log stand-in, because they record the outcome of their requests there on shutdown.
stop_all() {
    # shellcheck disable=SC2086
    stop $daemons
    # shellcheck disable=SC2086
    stop $stand_ins
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

start() {
    name=$1
    shift
    "$@" >"$work/$name.out" 2>&1 &
}

stand_in() { # NAME KIND PORT CONTROL_PORT
    start "$1" "$build/tests/snipehill_standins" --kind "$2" --name "$1" --listen "127.0.0.1:$3" --control "127.0.0.1:$4"
    stand_ins="$stand_ins $!"
}

fail() {
    echo "demo: $1" >&2
    tail -n 5 "$work"/*.out >&2
    exit 1
}

wait_for() { # URL
    tries=0
    until curl -sf -m 2 -o "$work/answer" "$1"; do
        tries=$((tries + 1))
        [ "$tries" -lt 150 ] || fail "no successful response from $1"
        sleep 0.1
    done
}

call() { # TITLE, CURL_ARGUMENT...
    echo "--- $1"
    shift
    curl -sS -N -m 30 -w '\n[HTTP %{http_code}, %{time_total} s]\n' -H 'Authorization: Bearer demo-bureau-key' "$@" || fail "request failed"
}

stand_in log log 18100 18101
stand_in platform platform 18110 18111
stand_in engine-1 engine 18401 18451
stand_in engine-2 engine 18402 18452
stand_in licences service 18403 18453
for control in 18101 18111 18451 18452 18453; do
    wait_for "http://127.0.0.1:$control/faults"
done

curl -sS -f -o "$work/answer" --data-binary "@$demo/instances.json" http://127.0.0.1:18111/instances || fail "instance list not set"
{
    printf '['
    separator=
    for record in "$demo"/records/*.json; do
        printf '%s' "$separator"
        cat "$record"
        separator=,
    done
    printf ']'
} >"$work/records.json"
curl -sS -f --data-binary "@$work/records.json" http://127.0.0.1:18100/streams/config/records || fail "records not published"
echo " records published"

for name in sidecar-1 sidecar-2 sidecar-3 entry-1 entry-2; do
    start "$name" "$build/src/snipehilld" --settings "$demo/$name.json"
    daemons="$daemons $!"
done
for admin in 18311 18312 18313 18301 18302; do
    wait_for "http://127.0.0.1:$admin/readyz"
done

call "status lookup, entry 1" http://127.0.0.1:18001/status/licence/4711
call "fee posting, entry 1" -H 'Idempotency-Key: fee-4711-2026' -H 'Content-Type: application/json' \
    -d '{"licence": 4711, "fee": 25}' http://127.0.0.1:18001/fees
call "the same fee posting again, entry 2" -H 'Idempotency-Key: fee-4711-2026' -H 'Content-Type: application/json' \
    -d '{"licence": 4711, "fee": 25}' http://127.0.0.1:18002/fees
call "assistant, streamed, entry 2" -H 'Content-Type: application/json' \
    -d '{"model": "assistant", "stream": true, "max_tokens": 6, "messages": [{"role": "user", "content": "When does the licence of dog 4711 end?"}]}' \
    http://127.0.0.1:18002/v1/chat/completions
echo "--- done"
