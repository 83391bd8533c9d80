#!/usr/bin/env bash
# A service that waits for a full zone keeps the services after it from a zone with room.
exec "$(dirname "$0")/../standins-2/run-case.sh" full-zone "$(dirname "$0")"
