#!/bin/bash
# Tests the command line of burlpointd: the exit status and the output of each option, and the errors reported
# for invalid settings and policy files and for settings that cannot be read.
# Usage: command_line.sh BURLPOINTD
set -u
burlpointd=$1
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
failures=0
expect() {  # expected status, expected text, arguments...
    local expected_status=$1 expected_text=$2
    shift 2
    local output
    output=$("$burlpointd" "$@" 2>&1)
    local actual_status=$?
    if [[ $actual_status -ne $expected_status || $output != *"$expected_text"* ]]; then
        echo "burlpointd $*: got exit status $actual_status, output: $output" \
            "(expected exit status $expected_status, output with \"$expected_text\")"
        failures=$((failures + 1))
    fi
}
cat >"$work_dir/good.toml" <<'TOML'
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
TOML
sed 's/^report_s.*/report_s = "soon"/' "$work_dir/good.toml" >"$work_dir/bad.toml"
echo '<burlpoint><idle-keep-s>30</idle-keep-s></burlpoint>' >"$work_dir/good.xml"
echo '<burlpoint><colour>red</colour></burlpoint>' >"$work_dir/bad.xml"
expect 0 "--config" --help
expect 0 "burlpointd " --version
expect 0 "good" --config "$work_dir/good.toml" --check
expect 0 "good" --config "$work_dir/good.toml" --policy "$work_dir/good.xml" --check
expect 1 "cluster.workers.report_s" --config "$work_dir/bad.toml"
expect 1 "<colour>: unknown element" --config "$work_dir/good.toml" --policy "$work_dir/bad.xml" --check
expect 1 "cannot be read" --config "$work_dir/none.toml"
[[ $("$burlpointd" 2>&1 >/dev/null) == *"--config"* ]] ||
    { echo "burlpointd without arguments: stderr does not mention --config"; failures=$((failures + 1)); }
[[ $failures -eq 0 ]]
