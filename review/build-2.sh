#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
java_home=$(scripts/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$java_home/bin/javac" -nowarn -d target/review-2 -cp target/oleanderturn-node.jar review/rig-2/*.java
cp review/rig-2/names.properties target/review-2/
