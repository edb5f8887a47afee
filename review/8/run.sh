#!/usr/bin/env bash
# One of eight runners ends a part of its orders with 503; TROUBLE=0: none does. Exit: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f daemon/target/entry.jsa ] && [ -d review/stand-ins-2/target/classes ] || exit 2
exec java -cp review/stand-ins-2/target/classes GreyRunner review/8/record.txt
