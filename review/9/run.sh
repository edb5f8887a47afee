#!/usr/bin/env bash
# A request that crashes runners comes again while daemons are restarted in turn; TROUBLE=0: they are not. Exit: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f daemon/target/entry.jsa ] && [ -d review/stand-ins-2/target/classes ] || exit 2
exec java -cp review/stand-ins-2/target/classes PoisonRestarts review/9/record.txt
