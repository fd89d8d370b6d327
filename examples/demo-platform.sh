#!/bin/bash
# Shows how requests are routed on the users' platform, with a store, three servers and one entry as local processes.
set -eu
build=$1
folder=$(mktemp -d)
pids=""
trap 'kill $pids 2>/dev/null || true; rm -rf "$folder"' EXIT

"$build/tests/snipehill_standins" \
    --kind platform-store --name store --listen 127.0.0.1:7700 --control 127.0.0.1:7710 \
    --kind platform-server --name fees --listen 127.0.0.1:7701 --control 127.0.0.1:7711 --faults '{"id": "i-fees"}' \
    --kind platform-server --name reader --listen 127.0.0.1:7702 --control 127.0.0.1:7712 --faults '{"id": "i-reader"}' \
    --kind platform-server --name runner --listen 127.0.0.1:7703 --control 127.0.0.1:7713 --faults '{"id": "i-runner"}' &
pids=$!
until curl -sf http://127.0.0.1:7710/faults >/dev/null; do sleep 0.1; done

# put TOPIC KEY VALUE: appends one record: its length (4 bytes, big endian), the key length (1 byte), the key and the value.
put() {
    local size=$((1 + ${#2} + ${#3}))
    printf "\\x$(printf %02x $((size >> 24)))\\x$(printf %02x $((size >> 16 & 255)))\\x$(printf %02x $((size >> 8 & 255)))\\x$(printf %02x $((size & 255)))\\x$(printf %02x ${#2})%s%s" "$2" "$3" |
        curl -sf --data-binary @- "http://127.0.0.1:7700/api/log-append?topic=$1&part=0" >/dev/null
}
put keyed.op config '{"version":1,"routes":[
 {"name":"fees","host":"a.example","path_prefix":"/fees/","kind":"non_idempotent","service":"fees","timeout_ms":3000,"goal_ms":300,"max_attempts":1},
 {"name":"review","host":"a.example","path_prefix":"/review/","kind":"streaming","service":"engines","timeout_ms":8000,"goal_ms":600,"gap_goal_ms":200,"max_attempts":1}],
 "services":[{"name":"fees"},{"name":"engines","engine":{"slots":8,"kv_tokens":400000,"token_kv_bytes":327680,"link_mbps":2700000.0}}],
 "tenants":[{"name":"bureau","api_keys":["demo-key"]}]}'
put keyed.servers i-fees '{"service":"fees","address":"127.0.0.1:7701","zone":"z","slots":8,"state":"ready"}'
put keyed.servers i-reader '{"service":"engines","address":"127.0.0.1:7702","zone":"z","slots":8,"state":"ready","stage":"prefill"}'
put keyed.servers i-runner '{"service":"engines","address":"127.0.0.1:7703","zone":"z","slots":8,"state":"ready","stage":"decode"}'

cat >"$folder/settings.toml" <<'TOML'
node_name = "entry-1"
zone = "z"
port_range = [7720, 7730]
[listen]
front = "127.0.0.1:7704"
ready = "127.0.0.1:7705"
[platform]
address = "127.0.0.1:7700"
TOML
SNIPEHILL_SETTINGS="$folder/settings.toml" "$build/src/snipehilld" --platform-entry >"$folder/entry.log" &
pids="$pids $!"
until curl -sf http://127.0.0.1:7705/api/ready >/dev/null; do sleep 0.1; done

call() {
    echo "--- $1"
    curl -s -X POST "http://127.0.0.1:7704$1" -H 'Host: a.example' -H "Attempt-Id: $2" -H 'Deadline-Ms: 5000' -H 'X-Api-Key: demo-key' "${@:3}"
    echo
}
call /fees/17 demo-1 -d fee
call /review/17 demo-2 -H 'Model: m' -H 'Token-Counts: 17000,20' -H 'Prompt-Prefix: a1:13300,b2:3700' -d prompt
sleep 0.5
echo "--- what the entry logged about the second request"
"$build/src/snipehillctl" explain demo-2 "$folder/entry.log"
