#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: the project's own of store and platform.
# The other stand-ins are plain modules and need no build.
set -e
cd "$(dirname "$0")/.."
npx tsc -b platform
