#!/bin/bash
# Checks that the format string of every info and error log line in the sources is listed under "Log lines"
# in docs/operations.md, and that every format string listed there exists in the sources.
# Usage: documented_log_lines.sh SOURCE_DIR DOCUMENT
set -euo pipefail

source_dir=$1
document=$2

# The format string of each call, with adjacent string literals joined. The format string "{}" is skipped
# because it contains no text.
logged_formats=$(find "$source_dir" -name '*.cpp' -print0 | sort -z | xargs -0 cat |
    tr '\n' ' ' | sed -E 's/"[[:space:]]+"//g' |
    grep -oE 'spdlog::(info|error)\([[:space:]]*"[^"]*"' |
    sed -E 's/^[^"]*"//; s/"$//' | grep -v '^{}$' | sort -u)
documented_formats=$(sed -n '/^## Log lines/,/^## /s/^| `\([^`]*\)` |.*/\1/p' "$document" | sort -u)
[ -n "$logged_formats" ] ||
    { echo "no spdlog::info or spdlog::error call found in $source_dir" >&2; exit 1; }

undocumented=$(comm -23 <(printf '%s\n' "$logged_formats") <(printf '%s\n' "$documented_formats"))
not_logged=$(comm -13 <(printf '%s\n' "$logged_formats") <(printf '%s\n' "$documented_formats"))
[ -z "$undocumented" ] || { echo "logged but not documented:"; printf '%s\n' "$undocumented"; }
[ -z "$not_logged" ] || { echo "documented but not logged:"; printf '%s\n' "$not_logged"; }
[ -z "$undocumented$not_logged" ]
