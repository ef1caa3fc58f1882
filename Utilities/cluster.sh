# Shell functions that start entries, guards and stand-ins on free loopback
# ports. Sourced by demo, bench and measure-idle after they have set $bin, the
# folder of the built programs.
#
# All files are written to $work. When the script exits, all started processes
# are stopped and $work is removed.

work=$(mktemp -d)
pids=()
log=""

stop_all() {
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# start NAME COMMAND...: runs a program in the background, with its output in
# $work/NAME.out and its errors in $work/NAME.err.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
}

# await WHAT COMMAND...: repeats the command until it succeeds. After about 30 s
# it prints the errors of all processes and exits.
await() {
  local what=$1
  shift
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.05
  done
  echo "$0: gave up waiting for $what" >&2
  cat "$work"/*.err >&2
  exit 1
}

# address FILE PATTERN: prints the address of the first matching event of kind
# "listening" in the file.
address() {
  grep '"listening"' "$1" | grep "$2" |
    grep -oE '127\.0\.0\.1:[0-9]+' | head -n 1
}
has_address() { [ -n "$(address "$1" "$2")" ]; }
is_ready() { curl -fsS "http://$1/readyz"; }
has_linked() { curl -fsS "http://$1/v1/status" | grep -q "\"linked\":$2"; }
has_version() {
  curl -fsS "http://$1/v1/status" | grep -q "\"configuration_version\":$2,"
}

# start_log: starts the log stand-in and sets $log to its address.
start_log() {
  start log "$bin/gp-stand-in-log" --listen 127.0.0.1:0 --control 127.0.0.1:0
  await "the log stand-in" has_address "$work/log.out" '"service"'
  log=$(address "$work/log.out" '"service"')
}

# settings NAME REGION DATA_CENTRE RACK: writes $work/NAME.json, a settings file
# for an entry or a guard.
settings() {
  cat >"$work/$1.json" <<JSON
{"name": "$1",
 "site": {"region": "$2", "data_centre": "$3", "rack": "$4"},
 "http": {"listen": "127.0.0.1:0"}, "links": {"listen": "127.0.0.1:0"},
 "log_service": {"address": "$log"},
 "event_log": {"file": "$work/$1.jsonl"}}
JSON
}

# start_process PROGRAM NAME REGION DATA_CENTRE RACK: starts an entry or a guard
# and sets $http to the address of its HTTP server.
start_process() {
  settings "$2" "$3" "$4" "$5"
  start "$2" "$bin/$1" --config "$work/$2.json"
  await "$2" has_address "$work/$2.jsonl" '"http '
  http=$(address "$work/$2.jsonl" '"http ')
}

# start_target NAME SERVICE SLOTS SLOWNESS GUARD_HTTP: starts a target stand-in
# that announces itself to the guard.
start_target() {
  start "$1" "$bin/gp-stand-in-target" --listen 127.0.0.1:0 \
    --control 127.0.0.1:0 --service "$2" --slots "$3" --speed "$4" \
    --announce-to "$5"
}
