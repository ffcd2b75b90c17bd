#!/bin/bash
# Plays the case once; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/review/Play.class ] || review/build.sh || exit 2
exec java -cp target/review review.Play ResumedStream review/5
