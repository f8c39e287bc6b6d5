#!/usr/bin/env bash
# Starts three nodes, two stand-in engines and one stand-in service, runs the checks of the demo
# against them, stops one node and starts it again, and runs the checks once more.
set -eu
cd "$(dirname "$0")/.."

RUN=demo/.run
rm -rf "$RUN"
mkdir -p "$RUN"
printf 'demo-operator-key\n' > "$RUN/operator.key"
export GOLDCRESTRIDGE_NODE=http://127.0.0.1:17901
export GOLDCRESTRIDGE_KEY_FILE=$RUN/operator.key

stop_all() {
    for job in $(jobs -p); do kill -KILL "$job" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap stop_all EXIT

start_node() {
    goldcrestridged --settings "demo/nodes/$1.toml" 2>> "$RUN/$1.log" &
    echo $! > "$RUN/$1.pid"
}

python -m goldcrestridge_lab.engine_http --port 17801 --token-ms 2 --check-fencing --resumes &
python -m goldcrestridge_lab.engine_http --port 17802 --token-ms 2 &
python -m goldcrestridge_lab.service_http --port 17811 &
for node in node-1 node-2 node-3; do start_node "$node"; done

python -m goldcrestridge_lab.demo wait --nodes 3
goldcrestridge check demo/config
goldcrestridge apply demo/config --wait 30
python -m goldcrestridge_lab.demo check

echo "Stopping node-3 with SIGTERM; it must end its requests and leave."
kill -TERM "$(cat "$RUN/node-3.pid")"
wait "$(cat "$RUN/node-3.pid")"
python -m goldcrestridge_lab.demo wait --nodes 2
python -m goldcrestridge_lab.demo check
echo "Starting node-3 again."
start_node node-3
python -m goldcrestridge_lab.demo wait --nodes 3
python -m goldcrestridge_lab.demo check

goldcrestridge status
echo "Demo passed."
