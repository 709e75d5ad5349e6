#!/usr/bin/env bash
# Runs a case of rig-2: run-case-2.sh CLASS FOLDER. Starts and signals the nodes as the case orders; ends all that it started.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
class=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
java_home=$(scripts/find-jdk) || exit 2
work=$(mktemp -d)
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
declare -A nodes=()
case_pid=

clean_up() {
  local pid
  for pid in "${nodes[@]}"; do
    kill -KILL "$pid" 2>/dev/null
  done
  # timeout passes the signal on to the case.
  [ -n "$case_pid" ] && kill -TERM "$case_pid" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

start_node() {
  local words
  read -ra words <<<"${command/\/etc\/oleanderturn\/settings.conf/$work/$1.json}"
  "${words[@]}" >"$work/$1.log" 2>&1 </dev/null &
  nodes[$1]=$!
}

coproc rig { exec timeout 115 "$java_home/bin/java" -cp target/review-2:target/oleanderturn-node.jar "$class" "$work" "$folder/record.txt" "${TROUBLE:-1}" 2>"$work/rig.log"; }
case_pid=$rig_PID
verdict=2
while read -r order name signal <&"${rig[0]}"; do
  case $order in
    start) start_node "$name" ;;
    signal) kill "-$signal" "${nodes[$name]}" ;;
    verdict) verdict=$name ;;
  esac
  echo done >&"${rig[1]}"
  [ "$order" = verdict ] && break
done
if [ "$verdict" = 2 ]; then
  tail -n 20 "$work/rig.log" >&2
fi
if [ -n "${KEEP_LOGS:-}" ]; then
  cp "$work"/*.log "$KEEP_LOGS"/
fi
exit "$verdict"
