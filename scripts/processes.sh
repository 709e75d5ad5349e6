# Functions that start, watch and end the processes of a deployment on this machine; to be sourced by bash.
#
# Each deployment is six nodes with a target each, spread over four availability zones and two regions, one store
# stand-in, and per zone a relay between the zone's nodes and the store. Only processes started here are ended here.

processes_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
declare -A processes_pids=()
processes_directory=
export JAVA_HOME
JAVA_HOME=$("$processes_root/scripts/find-jdk") || exit 2
readonly HTTP_TIMEOUT_SECONDS=15
port_shift=0

# -- building

build_missing() {
  local jar missing=
  for jar in node/target/oleanderturn-node.jar command/target/oleanderturn.jar testbed/target/oleanderturn-testbed.jar; do
    [ -f "$processes_root/$jar" ] || missing=yes
  done
  [ -n "$missing" ] || return 0
  export MAVEN_OPTS="${MAVEN_OPTS:-} --sun-misc-unsafe-memory-access=allow"
  echo 'building what is missing'
  (cd "$processes_root" && mvn -ntp -B -q -pl node,testbed,command -am package -DskipTests)
}

# -- deployments

# Sets the names of a deployment: its nodes, its zones and the paths of each kind of request.
choose_deployment() {
  deployment=$1
  port_shift=${OLEANDERTURN_PORT_SHIFT:-0}
  case $deployment in
    huon-valley)
      nodes=(hobart-availability-1 launceston-availability-1 huonville-bookings-1
        devonport-bookings-1 hobart-docs-1 devonport-docs-1)
      zones=(hobart launceston huonville devonport)
      store_port=$((20000 + port_shift))
      killed_node=launceston-availability-1 drained_node=hobart-docs-1 cut_zone=devonport
      frozen_zone=hobart crashed_service=availability crash_path=/availability/crash
      load_paths=(--lookup-path /availability/splitters --booking-path /bookings
        --download-path /docs/download/manual)
      ;;
    cordline)
      nodes=(arima-status-desk-1 san-fernando-status-desk-1 chaguanas-visit-booker-1
        point-fortin-visit-booker-1 arima-guide-library-1 point-fortin-guide-library-1)
      zones=(arima san-fernando chaguanas point-fortin)
      # Linux hands out ports from 32768 up to outgoing connections, so this deployment's are moved below.
      port_shift=$((port_shift - 18000))
      store_port=$((30000 + port_shift))
      killed_node=san-fernando-status-desk-1 drained_node=arima-guide-library-1 cut_zone=point-fortin
      frozen_zone=arima crashed_service=status-desk crash_path=/status/crash
      load_paths=(--lookup-path /status/repair --booking-path /visits --download-path /guides/download/cord)
      ;;
    *)
      echo "unknown deployment $deployment; known are huon-valley and cordline" >&2
      return 2
      ;;
  esac
  configuration_folder=$processes_root/examples/$deployment/configuration
}

# Prints one field of a node's example settings: a name such as region, or a listener such as caller.
example_field() {
  sed -n "s/^ *\"$2\": \"\([^\"]*\)\".*/\1/p" "$processes_root/examples/$deployment/nodes/$1.json" | head -n 1
}

# Prints a port of a node: caller, peer, control, operator, or target (its address).
port_of() {
  local field=$2 address
  [ "$field" = target ] && field=address_of_target
  if [ "$field" = address_of_target ]; then
    address=$(sed -n '/"target"/,/}/s/^ *"address": "\([^"]*\)".*/\1/p' \
      "$processes_root/examples/$deployment/nodes/$1.json")
  else
    address=$(example_field "$1" "$field")
  fi
  echo $((${address##*:} + port_shift))
}

zone_of() { example_field "$1" availabilityZone; }

zone_index() {
  local index
  for index in "${!zones[@]}"; do
    [ "${zones[$index]}" = "$1" ] && echo "$index" && return
  done
}

relay_port() { echo $((store_port + 100 + $(zone_index "$1"))); }
relay_admin_port() { echo $((store_port + 200 + $(zone_index "$1"))); }

# Writes the settings of a node: as in the example, but with the store behind its zone's relay and with the other
# nodes that are started here to join.
write_settings() {
  local node=$1 other join=
  for other in "${nodes[@]}"; do
    [ "$other" = "$node" ] || join+="${join:+, }\"127.0.0.1:$(port_of "$other" control)\""
  done
  cat >"$processes_directory/$node.json" <<EOF
{
  "node": "$node",
  "region": "$(example_field "$node" region)",
  "availabilityZone": "$(zone_of "$node")",
  "platformRegion": "$(example_field "$node" platformRegion)",
  "listen": {
    "caller": "127.0.0.1:$(port_of "$node" caller)",
    "peer": "127.0.0.1:$(port_of "$node" peer)",
    "control": "127.0.0.1:$(port_of "$node" control)",
    "operator": "127.0.0.1:$(port_of "$node" operator)"
  },
  "platform": {
    "address": "127.0.0.1:$(relay_port "$(zone_of "$node")")",
    "callsPerSecond": 20,
    "timeoutMilliseconds": 1000
  },
  "target": {
    "address": "127.0.0.1:$(port_of "$node" target)",
    "service": "$(example_field "$node" service)",
    "healthPath": "/health",
    "loadPath": "/load"
  },
  "join": [$join]
}
EOF
}

# -- processes

# Starts a process under a name; its output goes to a file of that name.
start_process() {
  local name=$1
  shift
  "$@" >>"$processes_directory/$name.log" 2>&1 &
  processes_pids[$name]=$!
}

# Sends a signal to a process that was started here.
signal_process() {
  [ -n "${processes_pids[$2]:-}" ] && kill "-$1" "${processes_pids[$2]}" 2>/dev/null
}

# Waits for the end of a process and returns its exit code.
await_process() {
  local code=0
  wait "${processes_pids[$1]}" 2>/dev/null || code=$?
  unset "processes_pids[$1]"
  return $code
}

kill_process() {
  signal_process KILL "$1"
  await_process "$1"
  return 0
}

end_processes() {
  local name
  for name in "${!processes_pids[@]}"; do
    signal_process CONT "$name"
    signal_process KILL "$name"
  done
  for name in "${!processes_pids[@]}"; do
    wait "${processes_pids[$name]}" 2>/dev/null
  done
  processes_pids=()
}

start_store() { start_process store "$processes_root/bin/oleanderturn-testbed" store --port "$store_port"; }

start_relays() {
  local zone
  for zone in "${zones[@]}"; do
    start_process "relay-$zone" "$processes_root/bin/oleanderturn-testbed" relay --port "$(relay_port "$zone")" \
      --upstream "127.0.0.1:$store_port" --admin-port "$(relay_admin_port "$zone")"
  done
}

start_target() {
  start_process "target-$1" "$processes_root/bin/oleanderturn-testbed" target --name "$1" --port "$(port_of "$1" target)"
}

start_node() {
  write_settings "$1"
  start_process "$1" "$processes_root/bin/oleanderturn-node" --settings "$processes_directory/$1.json" --log-format TEXT
}

# Starts everything of the chosen deployment and waits until it answers.
start_deployment() {
  local node zone
  processes_directory=$1
  rm -rf "$processes_directory"
  mkdir -p "$processes_directory"
  start_store
  start_relays
  for node in "${nodes[@]}"; do start_target "$node"; done
  await 30 'the store' port_answers "$store_port" || return 1
  for zone in "${zones[@]}"; do
    await 30 "the relay of $zone" port_answers "$(relay_admin_port "$zone")" || return 1
  done
  for node in "${nodes[@]}"; do
    await 30 "the target of $node" port_answers "$(port_of "$node" target)" || return 1
  done
  for node in "${nodes[@]}"; do start_node "$node"; done
  for node in "${nodes[@]}"; do
    await 30 "$node" port_answers "$(port_of "$node" operator)" || return 1
  done
}

# Starts a load under a name; its report goes to a file of that name.
start_load() {
  local name=$1 node entries=()
  shift
  for node in "${nodes[@]}"; do entries+=(--entry "127.0.0.1:$(port_of "$node" caller)"); done
  start_process "$name" "$processes_root/bin/oleanderturn-testbed" load "${entries[@]}" "${load_paths[@]}" \
    --key-prefix "$name-$$" --report "$processes_directory/$name.json" "$@"
}

# Ends a load's schedule, and waits until its last request has ended.
finish_load() {
  signal_process TERM "$1"
  await_process "$1"
  [ -f "$processes_directory/$1.json" ]
}

# Compares the report of a load with what the targets that still run have run.
check_load() {
  local name=$1 node targets=()
  shift
  for node in "${nodes[@]}"; do
    [ -n "${processes_pids[target-$node]:-}" ] && targets+=(--target "127.0.0.1:$(port_of "$node" target)")
  done
  "$processes_root/bin/oleanderturn-testbed" load-check --report "$processes_directory/$name.json" "${targets[@]}" "$@"
}

# -- questions

# Runs a question until it succeeds, for so many seconds.
await() {
  local seconds=$1 what=$2 end
  shift 2
  end=$((SECONDS + seconds))
  until "$@"; do
    if [ $SECONDS -ge $end ]; then
      echo "gave up waiting for $what after $seconds s" >&2
      return 1
    fi
    sleep 0.2
  done
}

port_answers() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Sends one HTTP request to a loopback port and prints the whole answer: port, method, path, then further headers.
http() {
  local port=$1 method=$2 path=$3 body=${http_body:-}
  shift 3
  exec 3<>"/dev/tcp/127.0.0.1/$port" || return 1
  {
    printf '%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n' "$method" "$path"
    [ $# -eq 0 ] || printf '%s\r\n' "$@"
    [ "$method" = GET ] || printf 'Content-Type: application/json\r\nContent-Length: %d\r\n' "${#body}"
    printf '\r\n%s' "$body"
  } >&3
  timeout $HTTP_TIMEOUT_SECONDS tr -d '\r' <&3
  exec 3>&-
}

relay() { http "$(relay_admin_port "$1")" POST "/$2" >/dev/null; }

store_faults() { http_body=$1 http "$store_port" POST /admin/faults >/dev/null; }

# Runs the operators' command line at a node; further arguments are its words.
operate() {
  local node=$1
  shift
  "$processes_root/bin/oleanderturn" "$@" --node "127.0.0.1:$(port_of "$node" operator)"
}

# Prints what a node knows of each proxy: name, state, reachable and version.
proxies() { operate "$1" query proxies | awk 'NR > 1 {print $1, $5, $6, $7}'; }

# Prints the version that a node says it holds.
version_at() { proxies "$1" 2>/dev/null | awk -v node="$1" '$1 == node && $4 ~ /^[0-9]+$/ {print $4}'; }

holds_version() {
  local held
  held=$(version_at "$1")
  [ "${held:-0}" -ge "$2" ]
}

# Succeeds when a node lists as many proxies as ready and reachable.
sees_ready() { [ "$(proxies "$1" 2>/dev/null | grep -c ' READY yes ')" -ge "$2" ]; }

# Succeeds when a node's caller port answers one lookup by a target.
serves_lookup() {
  http "$(port_of "$1" caller)" GET "${load_paths[1]}" 2>/dev/null | grep -qi '^oleanderturn-outcome: ran'
}

# Prints the configuration version by which a node routes a lookup.
answered_version() {
  http "$(port_of "$1" caller)" GET "${load_paths[1]}" 2>/dev/null |
    sed -n 's/^[Oo]leanderturn-[Cc]onfiguration-[Vv]ersion: \([0-9]*\)$/\1/p'
}

# Succeeds when a node routes by a version or a newer one.
routes_by() {
  local version
  version=$(answered_version "$1")
  [ "${version:-0}" -ge "$2" ]
}

# Sends a booking to a node under a key and prints the whole answer.
book() { http_body='{}' http "$(port_of "$1" caller)" POST "${load_paths[3]}" "Idempotency-Key: $2"; }

# Succeeds when a booking is answered as run.
books() { book "$1" "$2" 2>/dev/null | grep -qi '^oleanderturn-outcome: ran'; }

# Prints the part of an answer that says what became of the request, and succeeds when it is a refusal as not run that
# says when to come back.
is_refused() {
  grep -iE '^(HTTP|oleanderturn-(outcome|reason)|retry-after)' <<<"$1" | sed 's/^/    /'
  grep -qi '^oleanderturn-outcome: not-run' <<<"$1" && grep -qi '^retry-after: ' <<<"$1"
}

# Writes declarations that are those of the deployment, but for the slots of the first service; prints their folder.
declare_change() {
  local folder=$processes_directory/$1
  mkdir -p "$folder"
  cp "$configuration_folder"/*.json "$folder/"
  sed -i "0,/\"slots\": [0-9]*/s//\"slots\": $2/" "$folder/services.json"
  echo "$folder"
}

# Proposes the deployment's declarations and prints the outcome.
propose() {
  local node=$1
  shift
  operate "$node" command propose "$@"
}
