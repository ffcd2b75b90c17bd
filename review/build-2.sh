#!/usr/bin/env bash
# Compiles the stand-ins and the cases 6 to 10 of this review; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
