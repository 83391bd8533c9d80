#!/usr/bin/env bash
# While controllers refuse each other's connections, a hanging machine's silence is forgotten; a cancelled task stays on it.
exec "$(dirname "$0")/../standins-2/run-case.sh" forgotten-silence "$(dirname "$0")"
