#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
test -x target/juniperchute && test -x target/review/case-8 || exit 2
timeout -k 5 115 target/review/case-8 "$here"
status=$?
case $status in 0 | 1) exit $status ;; esac
exit 2
