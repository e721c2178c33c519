# Shell functions that start a small deployment of separate processes on the
# loopback address. Sourced by the demo and by the process tests.

BUILD=${BUILD:-build}
PRODUCT=$BUILD/apps/bilberrypitch/bilberrypitch
LAB=$BUILD/tools/bilberrypitch_lab/bilberrypitch_lab
WORK=$(mktemp -d)
declare -A PID

# A port that was free a moment ago, below the ephemeral range.
NEXT_PORT=$((10000 + (RANDOM % 180) * 100))
free_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$NEXT_PORT") 2>/dev/null; do
    NEXT_PORT=$((NEXT_PORT + 1))
  done
  PORT=$NEXT_PORT
  NEXT_PORT=$((NEXT_PORT + 1))
}

# start NAME COMMAND...: runs it in the background, its log in $WORK/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  PID[$name]=$!
}

stop_all() {
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null || true
    kill -KILL "${PID[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $end ]; then
      echo "timed out: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

start_platform() {
  free_port; STORE_PORT=$PORT
  start store "$LAB" store --port "$STORE_PORT"
  free_port; LIST_PORT=$PORT
  start list "$LAB" list --port "$LIST_PORT" --lag-ms "${LIST_LAG_MS:-500}"
  wait_for 10 curl -sf "127.0.0.1:$STORE_PORT/lab/facts"
  wait_for 10 curl -sf "127.0.0.1:$LIST_PORT/instances"
}

# start_engine NAME [OPTIONS...]
declare -A ENGINE_PORT
start_engine() {
  local name=$1
  shift
  if [ -z "${ENGINE_PORT[$name]:-}" ]; then
    free_port; ENGINE_PORT[$name]=$PORT
  fi
  start "$name" "$LAB" engine --name "$name" --port "${ENGINE_PORT[$name]}" "$@"
  wait_for 10 curl -sf "127.0.0.1:${ENGINE_PORT[$name]}/metrics"
}

declare -A SERVICE_PORT
start_service() {
  free_port; SERVICE_PORT[$1]=$PORT
  start "$1" "$LAB" service --name "$1" --port "$PORT"
  wait_for 10 curl -sf "127.0.0.1:$PORT/lab/facts"
}

# write_settings NAME ZONE: chooses ports on the first call for a name.
declare -A CALLER_PORT OPERATOR_PORT PEER_PORT ZONE_OF
write_settings() {
  if [ -z "${CALLER_PORT[$1]:-}" ]; then
    free_port; CALLER_PORT[$1]=$PORT
    free_port; OPERATOR_PORT[$1]=$PORT
    free_port; PEER_PORT[$1]=$PORT
    ZONE_OF[$1]=$2
  fi
  cat >"$WORK/$1.json" <<SETTINGS
{"instance": "$1", "zone": "$2", "bind_ip": "127.0.0.1",
 "caller_port": ${CALLER_PORT[$1]}, "operator_port": ${OPERATOR_PORT[$1]},
 "peer_port": ${PEER_PORT[$1]},
 "store_address": "127.0.0.1:${STORE_SEEN_PORT:-$STORE_PORT}",
 "list_address": "127.0.0.1:$LIST_PORT",
 "deadlines": {"request_ms": ${REQUEST_MS:-30000},
               "progress_ms": ${PROGRESS_MS:-2000},
               "first_byte_ms": ${FIRST_BYTE_MS:-5000},
               "queue_ms": ${QUEUE_MS:-10000}, "drain_ms": 20000}}
SETTINGS
}

publish_list() {
  local body="" name
  for name in "${!CALLER_PORT[@]}"; do
    [ -n "${UNLISTED[$name]:-}" ] && continue
    body+="${body:+,}{\"instance\":\"$name\",\"zone\":\"${ZONE_OF[$name]}\","
    body+="\"peer_address\":\"127.0.0.1:${PEER_PORT[$name]}\",\"state\":\"live\"}"
  done
  for name in "${!LEAVING[@]}"; do
    body+="${body:+,}{\"instance\":\"$name\",\"role\":\"upstream\",\"state\":\"leaving\"}"
  done
  curl -sf "127.0.0.1:$LIST_PORT/lab/instances" -d "{\"instances\":[$body]}" \
    >/dev/null
}
declare -A UNLISTED LEAVING

start_instance() {
  start "$1" "$PRODUCT" serve --settings "$WORK/$1.json"
  wait_for 10 curl -sf "127.0.0.1:${OPERATOR_PORT[$1]}/healthz"
}

ready() { curl -sf "127.0.0.1:${OPERATOR_PORT[$1]}/readyz"; }

# operate INSTANCE WORDS...: an operator's command at that instance.
operate() {
  local at=$1
  shift
  "$PRODUCT" "$@" --operator "127.0.0.1:${OPERATOR_PORT[$at]}" \
    --author demo --reason "${REASON:-shown in a demo}"
}

# ask INSTANCE KEY BODY: a chat completion.
ask() {
  curl -s -N --max-time 40 "127.0.0.1:${CALLER_PORT[$1]}/v1/chat/completions" \
    -H "Authorization: Bearer $2" -H 'Content-Type: application/json' -d "$3"
}

facts() { curl -sf "127.0.0.1:$1/lab/facts"; }
faults() { curl -sf "127.0.0.1:$1/lab/faults" -d "$2" >/dev/null; }
field() { sed -n "s/.*\"$1\":\"\\{0,1\\}\\([^,\"}]*\\).*/\\1/p"; }
