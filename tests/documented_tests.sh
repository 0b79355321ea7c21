#!/bin/bash
# Checks that every test named in the documentation as `Suite.Name` exists in the test program.
# Usage: documented_tests.sh TEST_PROGRAM DOCUMENTATION_DIR
set -euo pipefail

test_program=$1
documentation_dir=$2

# --gtest_list_tests prints each suite as a line "Suite." followed by the indented names of its tests. Text
# after a name is a comment.
existing_tests=$("$test_program" --gtest_list_tests |
    awk '/^[^ ]/ {suite = $1; next} {print suite $1}')
documented_tests=$(grep -ohE '`[A-Z][A-Za-z]+\.[A-Z][A-Za-z]+`' "$documentation_dir"/*.md |
    tr -d '`' | sort -u)
[ -n "$documented_tests" ] || { echo "no test name found in $documentation_dir" >&2; exit 1; }

missing=$(comm -23 <(printf '%s\n' "$documented_tests") <(printf '%s\n' "$existing_tests" | sort -u))
[ -z "$missing" ] || { printf 'documented test not found: %s\n' $missing >&2; exit 1; }
