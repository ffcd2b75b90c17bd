#!/bin/bash
# Builds the stand-ins and the plays of the cases into target/review. Needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
find review -name '*.java' -print0 | xargs -0 javac -nowarn -d target/review
