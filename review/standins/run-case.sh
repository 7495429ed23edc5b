#!/usr/bin/env bash
# Runs a case: the number of its folder and the name of its program. Ends all that the program started, also when the
# case is interrupted. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
child=
clean_up() {
    [ -n "$child" ] && kill "$child" 2>/dev/null && wait "$child" 2>/dev/null
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            # Only a process that was started with settings from this folder.
            grep -qs -- "$folder/" "/proc/$pid/cmdline" && kill -KILL "$pid" 2>/dev/null
        done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP
"target/review/release/$2" "review/$1/record.txt" "$folder" &
child=$!
wait "$child"
status=$?
child=
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
