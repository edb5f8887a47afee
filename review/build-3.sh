#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They are in Java and need nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-3"
mkdir -p target
javac -d target ./*.java
