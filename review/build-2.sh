#!/bin/sh
# Builds the program that plays the cases 6 and up of the review: review/bin/rig2, with all stand-ins that they start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig2 ./review/rig2
