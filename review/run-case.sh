#!/bin/sh
# run-case.sh FOLDER STANDIN MACHINE ...: starts the processes of the machines (see standins/src/bin/layout.rs) on loopback
# addresses, runs the stand-in that drives the case, and ends all processes that it started. Exits with the stand-in's
# code.
here="$(cd "$(dirname "$0")" && pwd)"
folder="$1"; standin="$2"; shift 2
cd "$here/.." || exit 2
bin="$here/standins/target/release"
[ -x target/release/windvalve ] && [ -x "$bin/$standin" ] || { echo "build first"; exit 2; }
dir="$(mktemp -d)" || exit 2
pids=""
finish() {
    for pid in $pids; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$dir"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$bin/layout" "$dir" "$@" >"$dir/layout" || exit 2
. "$dir/layout"
for settings in "$dir"/control*.yaml wait "$dir"/access*.yaml; do
    # The control nodes know each other before the access nodes come, so that these choose one in their zone.
    [ "$settings" = wait ] && { sleep 2; continue; }
    name="$(basename "$settings" .yaml)"
    role="${name%[0-9]}"
    WINDVALVE_BOOT="$settings" target/release/windvalve "$role" --log "${LOG:-warn}" >"$dir/$name.log" 2>&1 &
    pids="$pids $!"
    export "PID_$name=$!"
done
export CONTROLS FRONTS PLATFORM DATABASES
RECORD="$folder/record.txt" timeout 115 "$bin/$standin"
code=$?
[ "$code" -eq 124 ] && code=2
for log in "$dir"/*.log; do sed "s/^/$(basename "$log" .log): /" "$log" >>"$folder/record.txt"; done
exit $code
