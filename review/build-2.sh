#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8: small programs of this review and the project's own test stubs.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins -B target/review-standins -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-standins -j8
