#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out.
exec "$(dirname "$(readlink -f "$0")")/../run-case.sh" 4 GroupLost
