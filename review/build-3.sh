#!/usr/bin/env bash
# Builds the stand-ins of the scripts 11 to 15; they need nothing beyond the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 review/harness-3/*.java
