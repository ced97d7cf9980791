#!/usr/bin/env bash
# Runs a case of the third review: run-3.sh CASE NUMBER. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
folder=$(mktemp -d) || exit 2
finish() {
  # What is left if the stand-in was ended. An id may be that of another process by now.
  while read -r pid; do
    grep -qs "$folder" "/proc/$pid/environ" && kill -KILL "$pid"
  done < <(cat "$folder/pids" 2> /dev/null)
  rm -rf "$folder"
}
trap finish EXIT
[ -x target/review-3/standin ] && [ -x target/release/berylwheel ] || exit 2
timeout 115 target/review-3/standin "$1" "$folder" "review/$2/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
