#!/usr/bin/env bash
# Compiles the stand-ins of the cases into review/target.
set -eu
cd "$(dirname "$(readlink -f "$0")")/.."
jdk=$(scripts/find-jdk)
rm -rf review/target
mkdir -p review/target
"$jdk/bin/javac" -d review/target review/rig/*.java
