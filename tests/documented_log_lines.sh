#!/bin/bash
# Checks that every line that the program logs as info or error stands in docs/operations.md with the text of its format
# string, and that no line stands there which is not logged.
# Usage: documented_log_lines.sh SOURCES DOCUMENT
set -euo pipefail

sources=$1
document=$2

# The first string of each call, with strings that are continued on the next line joined.
logged=$(find "$sources" -name '*.cpp' -print0 | sort -z | xargs -0 cat | tr '\n' ' ' | sed -E 's/"[[:space:]]+"//g' |
    grep -oE 'spdlog::(info|error)\([[:space:]]*"[^"]*"' | sed -E 's/^[^"]*"//; s/"$//' | grep -v '^{}$' | sort -u)
documented=$(sed -n '/^## Log lines/,/^## /s/^| `\([^`]*\)` |.*/\1/p' "$document" | sort -u)
[ -n "$logged" ] || { echo "no log line was found" >&2; exit 1; }

missing=$(comm -23 <(printf '%s\n' "$logged") <(printf '%s\n' "$documented"))
unknown=$(comm -13 <(printf '%s\n' "$logged") <(printf '%s\n' "$documented"))
[ -z "$missing" ] || { echo "logged and not documented:"; printf '%s\n' "$missing"; }
[ -z "$unknown" ] || { echo "documented and not logged:"; printf '%s\n' "$unknown"; }
[ -z "$missing$unknown" ]
