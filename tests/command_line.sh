#!/bin/bash
# The program's command line: what it prints and how it ends.
set -u
program=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0
expect() {  # expected status, expected text, arguments...
    local status=$1 text=$2
    shift 2
    local out
    out=$("$program" "$@" 2>&1)
    local got=$?
    if [[ $got -ne $status || $out != *"$text"* ]]; then
        echo "burlpointd $*: status $got, output: $out (wanted status $status and \"$text\")"
        failures=$((failures + 1))
    fi
}
cat >"$work/good.toml" <<'T'
label = "one"
area = "north"
bind = "127.0.0.1:0"
peer_bind = "127.0.0.1:0"
later = "unknown fields are ignored"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
nodes = 1
zones = ["north"]
clock_error_ms = 10.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 10.0
gang_peer_s = 5.0
cancel_s = 20.0
[cluster.state]
rps = 100.0
write_rps = 10.0
value_kb = 8.0
txn_ops = 8
[cluster.cloud]
rps = 2.0
list_lag_s = 10.0
[cluster.limits]
core_share = 0.1
mem_mb = 100.0
max_connections = 500
T
sed 's/^report_s.*/report_s = "soon"/' "$work/good.toml" >"$work/bad.toml"
echo '<burlpoint><idle-keep-s>30</idle-keep-s></burlpoint>' >"$work/good.xml"
echo '<burlpoint><colour>red</colour></burlpoint>' >"$work/bad.xml"
expect 0 "--config" --help
expect 0 "burlpointd " --version
expect 0 "good" --config "$work/good.toml" --check
expect 0 "good" --config "$work/good.toml" --policy "$work/good.xml" --check
expect 1 "cluster.workers.report_s" --config "$work/bad.toml"
expect 1 "<colour>: unknown element" --config "$work/good.toml" --policy "$work/bad.xml" --check
expect 1 "cannot be read" --config "$work/none.toml"
[[ $("$program" 2>&1 >/dev/null) == *"--config"* ]] || { echo "no arguments: no hint"; failures=$((failures + 1)); }
[[ $failures -eq 0 ]]
