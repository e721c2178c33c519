#!/usr/bin/env bash
# A small deployment of separate processes: three entry instances in two
# availability zones, two engines, a plain service and the platform.
set -euo pipefail
BUILD=${1:-build}
. "$(dirname "$0")/deploy_lib.sh"
trap stop_all EXIT

say() { echo "== $*"; }

say "starting the platform, two engines and a plain service"
start_platform
start_engine engine-a
start_engine engine-b
start_service booking

cat >"$WORK/document.json" <<DOCUMENT
{"workspaces": [{"name": "club", "rate_tokens_per_s": 500, "burst_tokens": 3000}],
 "adapters": [{"name": "coach", "workspace": "club", "pool": "taal",
               "current_version": 2,
               "versions": [{"number": 1, "source": "weights/coach/1"},
                            {"number": 2, "source": "weights/coach/2"}]}],
 "upstreams": [
   {"name": "engine-a", "zone": "a", "pool": "taal", "kind": "ENGINE",
    "address": "127.0.0.1:${ENGINE_PORT[engine-a]}"},
   {"name": "engine-b", "zone": "b", "pool": "taal", "kind": "ENGINE",
    "address": "127.0.0.1:${ENGINE_PORT[engine-b]}"},
   {"name": "booking", "zone": "a", "pool": "booking", "kind": "SERVICE",
    "address": "127.0.0.1:${SERVICE_PORT[booking]}"}],
 "routes": [{"name": "lanes", "pool": "booking"},
            {"name": "hours", "pool": "booking", "open": true, "idempotent": true}],
 "fleet": {"zones": [{"name": "a", "slots": 2}, {"name": "b", "slots": 1}],
           "loads_per_s": 4}}
DOCUMENT
"$PRODUCT" check --document "$WORK/document.json"

say "starting three entry instances in two availability zones"
write_settings entry-1 a
write_settings entry-2 a
write_settings entry-3 b
publish_list
for name in entry-1 entry-2 entry-3; do start_instance "$name"; done

say "the operator puts the document and issues a key"
operate entry-1 document put --file "$WORK/document.json" --base 0
KEY=$(operate entry-2 key issue club | field key)
for name in entry-1 entry-2 entry-3; do wait_for 20 ready "$name"; done

say "a streamed answer through entry-3"
BODY='{"model":"coach","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hold"}]}'
known() { ask "$1" "$KEY" "$BODY" | grep -q '\[DONE\]'; }
wait_for 20 known entry-3
ask entry-3 "$KEY" "$BODY"

say "a whole answer of version 1 through entry-1"
ask entry-1 "$KEY" '{"model":"coach@1","max_tokens":3,"messages":[]}'
echo

say "an open route and a booking"
curl -sf "127.0.0.1:${CALLER_PORT[entry-2]}/services/hours/today"; echo
curl -sf "127.0.0.1:${CALLER_PORT[entry-2]}/services/lanes/7" -d 'lane 7' \
  -H "Authorization: Bearer $KEY" -H 'Idempotency-Key: evening-7'
echo
say "the same booking again, through another instance: not run twice"
curl -sf "127.0.0.1:${CALLER_PORT[entry-3]}/services/lanes/7" -d 'lane 7' \
  -H "Authorization: Bearer $KEY" -H 'Idempotency-Key: evening-7'
echo

say "a refusal"
ask entry-1 "$KEY" '{"model":"nobody","messages":[]}'
echo

say "the key is withdrawn and stops working everywhere"
operate entry-3 key withdraw "$(echo "$KEY" | cut -d_ -f2)"
refused() { ask "$1" "$KEY" "$BODY" | grep -q unauthenticated; }
for name in entry-1 entry-2 entry-3; do wait_for 3 refused "$name"; done
ask entry-2 "$KEY" "$BODY"
echo

say "the audit trail"
operate entry-2 audit

say "a planned stop"
for name in entry-1 entry-2 entry-3; do kill -TERM "${PID[$name]}"; done
for name in entry-1 entry-2 entry-3; do
  wait "${PID[$name]}" || { echo "$name ended with $?"; cat "$WORK/$name.log"; exit 1; }
done
if grep -l "$KEY" "$WORK"/*.log; then
  echo "a log holds the key" >&2
  exit 1
fi
echo "demo: ok"
