#!/bin/sh
# Hands in the first ticket and says what to try; honcho keeps it running.
set -eu
tries=30
until lagoonpost ticket apply examples/tickets/1-start.yaml; do
    tries=$((tries - 1))
    if [ "$tries" -eq 0 ]; then exit 1; fi
    sleep 1
done
cat <<'TEXT'
lagoonpost is up: 9 gateways, 3 engines, 2 booking runners. In another shell:
  export LAGOONPOST_KEY=demo-key LAGOONPOST_OPERATOR_KEY=operator-key LAGOONPOST_ENTRY=127.0.0.1:8101
  .venv/bin/lagoonpost ask "A term plan for glazes"
  .venv/bin/lagoonpost book '{"wheel": 3}'
  .venv/bin/lagoonpost check checks/saturday
  .venv/bin/lagoonpost status
TEXT
exec sleep 1000000
