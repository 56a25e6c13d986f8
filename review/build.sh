#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; needs nothing but a JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/harness/org/parsleyhead/review/*.java
