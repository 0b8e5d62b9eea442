#!/bin/sh
# Builds the stand-ins of cases 6 to 10. The build of the deploy file comes first. Needs no network and nothing beside the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
exec go build -o bin/rig2 ./review/_rig2
