#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Starts the nodes and sends them signals, as the case asks for on its standard output.
set -u
cd "$(dirname "$(readlink -f "$0")")/.." || exit 2
jdk=$(scripts/find-jdk) || exit 2
if [ ! -d review/target ] || [ ! -f target/oleanderturn-node.jar ]; then
  echo 'run scripts/build-deployment and review/build.sh first' >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
declare -A pids

finish() {
  kill -KILL "$case_pid" "${pids[@]}" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$folder"
}

start_node() {
  local settings=$2 words
  read -ra words <<<"$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)"
  words=("${words[@]/#\/etc\/oleanderturn\/settings.conf/$settings}")
  OLEANDERTURN_CONFIG=$settings "${words[@]}" >>"$folder/$1.log" 2>&1 </dev/null &
  pids[$1]=$!
}

coproc CASE { exec "$jdk/bin/java" -Xmx256m -cp review/target "$2" "review/$1/record.txt" "$folder"; }
case_pid=$CASE_PID
trap finish EXIT
trap 'exit 2' INT TERM
while read -r word name value; do
  case $word in
    @start) start_node "$name" "$value" && echo "${pids[$name]}" >&"${CASE[1]}" ;;
    @signal) kill "-$value" "${pids[$name]}" ;;
    *) echo "$word $name $value" ;;
  esac
done <&"${CASE[0]}"
wait "$case_pid"
exit $?
