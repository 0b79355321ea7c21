#!/bin/bash
# Builds the stand-ins and the cases' programs into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j8
