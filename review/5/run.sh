#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec timeout -k 5 115 java -Xmx256m -cp review/target/classes review.DrainingWhileTheListIsRead "$here/record.txt"
