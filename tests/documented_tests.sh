#!/bin/bash
# Checks that every test which the documents name as `Suite.Name` exists.
# Usage: documented_tests.sh TEST_PROGRAM DOCUMENTS_FOLDER
set -euo pipefail

program=$1
documents=$2

# "Suite." lines head the indented names of that suite; what follows a name is a comment.
existing=$("$program" --gtest_list_tests | awk '/^[^ ]/ {suite = $1; next} {print suite $1}')
named=$(grep -ohE '`[A-Z][A-Za-z]+\.[A-Z][A-Za-z]+`' "$documents"/*.md | tr -d '`' | sort -u)
[ -n "$named" ] || { echo "no document names a test" >&2; exit 1; }

missing=$(comm -23 <(printf '%s\n' "$named") <(printf '%s\n' "$existing" | sort -u))
[ -z "$missing" ] || { printf 'no such test: %s\n' $missing >&2; exit 1; }
