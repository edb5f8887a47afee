#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts; needs a JDK and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -nowarn -d target/classes stand-ins/review/*.java
