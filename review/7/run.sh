#!/usr/bin/env bash
# One odd entry among the runners', then a configuration; TROUBLE=0: only that. Exit: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f daemon/target/entry.jsa ] && [ -d review/stand-ins-2/target/classes ] || exit 2
exec java -cp review/stand-ins-2/target/classes OddEntry review/7/record.txt
