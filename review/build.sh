#!/bin/sh
# Builds the stand-ins that the cases start: those of the project (platform/dist/standins and
# packages/reedlug-standins/dist). The build of the deploy file has to have run before.
set -e
cd "$(dirname "$0")/.."
npx tsc -b
