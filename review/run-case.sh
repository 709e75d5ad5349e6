#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$(readlink -f "$0")")/.." || exit 2
jdk=$(scripts/find-jdk) || exit 2
if [ ! -d review/target ] || [ ! -f target/oleanderturn-node.jar ]; then
  echo "run scripts/build-deployment and review/build.sh first" >&2
  exit 2
fi
exec "$jdk/bin/java" -Xmx256m -cp review/target "$2" "review/$1/record.txt"
