#!/usr/bin/env bash
# Exit status 1: the rule was broken; 0: it held; 2: the case could not run.
# With TROUBLE=0 the disruption is left out: a bad client's five messages in one write.
set -u
here=$(cd "$(dirname "$0")" && pwd)
if [ "${TROUBLE:-1}" = 0 ]; then
    trouble=0
else
    trouble=1
fi
exec env TROUBLE="$trouble" "$here/../run-case.sh" taken-back "$here"
