#!/usr/bin/env bash
# A deposed leader learns the token of its successor and starts tasks with it.
exec "$(dirname "$0")/../standins-2/run-case.sh" learned-token "$(dirname "$0")"
