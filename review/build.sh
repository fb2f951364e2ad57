#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. The build of the deploy file comes before it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/ ./review/rig
