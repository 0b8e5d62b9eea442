#!/bin/sh
# Builds the stand-ins that the cases start. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o review/_rig/bin/rig ./review/_rig
