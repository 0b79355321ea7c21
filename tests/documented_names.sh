#!/bin/bash
# Checks that the types, functions and files which the documents name in backticks exist in the sources or tests.
# Usage: documented_names.sh REPOSITORY
set -euo pipefail

cd "$1"
documents=(CONTRIBUTING.md README.md docs/architecture.md docs/design.md docs/limits.md docs/operations.md docs/safety.md)
words=$(grep -ohE '`[^`]+`' "${documents[@]}" | tr -d '`' | sort -u)
identifiers=$(find src tests \( -name '*.h' -o -name '*.cpp' \) -print0 | xargs -0 grep -ohE '[A-Za-z_][A-Za-z0-9_]*' | sort -u)
missing=0

# `Type`, `Type::member`, `functionName`; names of tests (`Suite.Name`) have a check of their own.
while read -r name; do
    for part in ${name//::/ }; do
        grep -qxF "$part" <<<"$identifiers" || { echo "no such name: $name" >&2; missing=1; }
    done
done < <(grep -E '^([A-Z][a-z]+[A-Za-z]*|[a-z]+([A-Z][a-z]+)+)(::[A-Za-z]+)*$' <<<"$words")

while read -r file; do
    [ -n "$(find src tests -name "$(basename "$file")" -print -quit)" ] || { echo "no such file: $file" >&2; missing=1; }
done < <(grep -E '^[a-z_/]+\.(h|cpp)$' <<<"$words")

exit "$missing"
