#!/bin/bash
# Checks that the types, functions and files named in backticks in the documentation exist in src/ or tests/.
# Usage: documented_names.sh REPOSITORY
set -euo pipefail

cd "$1"
documents=(CONTRIBUTING.md README.md
    docs/architecture.md docs/design.md docs/limits.md docs/operations.md docs/safety.md)
quoted_terms=$(grep -ohE '`[^`]+`' "${documents[@]}" | tr -d '`' | sort -u)
identifiers=$(find src tests \( -name '*.h' -o -name '*.cpp' \) -print0 |
    xargs -0 grep -ohE '[A-Za-z_][A-Za-z0-9_]*' | sort -u)
status=0

# Matches `Type`, `Type::member` and `functionName`. documented_tests.sh checks test names (`Suite.Name`).
while read -r name; do
    for component in ${name//::/ }; do
        grep -qxF "$component" <<<"$identifiers" ||
            { echo "documented name not found in src/ or tests/: $name" >&2; status=1; }
    done
done < <(grep -E '^([A-Z][a-z]+[A-Za-z]*|[a-z]+([A-Z][a-z]+)+)(::[A-Za-z]+)*$' <<<"$quoted_terms")

while read -r file; do
    [ -n "$(find src tests -name "$(basename "$file")" -print -quit)" ] ||
        { echo "documented file not found in src/ or tests/: $file" >&2; status=1; }
done < <(grep -E '^[a-z_/]+\.(h|cpp)$' <<<"$quoted_terms")

exit "$status"
