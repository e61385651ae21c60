#!/bin/sh
exec node "$(dirname "$0")/case.mjs"
