#!/usr/bin/env bash
# Many tiny tasks make a worker's report larger than a request may be; the machine loses its lease with all its tasks.
exec "$(dirname "$0")/../standins-2/run-case.sh" tiny-tasks "$(dirname "$0")"
