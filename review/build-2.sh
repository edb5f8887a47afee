#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the compiler of the Java that builds the project.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p stand-ins-2/target/classes
javac --release 17 -d stand-ins-2/target/classes stand-ins-2/src/*.java
