#!/usr/bin/env bash
# Verifies transfer.pml with Spin and shows that each broken variant fails.
set -euo pipefail
model=$(cd "$(dirname "$0")" && pwd)/transfer.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# check holds|fails [-DVARIANT]
check() {
  local wanted=$1
  shift
  spin -a "$@" "$model" >spin.log || { cat spin.log >&2; return 1; }
  gcc -O2 -DSAFETY -DMEMLIM=2000 -w -o pan pan.c
  ./pan -m100000 >pan.log
  if grep -Eq 'max search depth too small|out of memory' pan.log; then
    echo "transfer.pml $*: the search was cut short" >&2
    return 1
  fi
  local errors
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
  echo "transfer.pml ${*:-sound}: ${errors:-?} errors"
  case $wanted in
  holds) [ "${errors:-1}" = 0 ] ;;
  fails) [ "${errors:-0}" != 0 ] ;;
  esac || { echo "transfer.pml $*: expected that it $wanted" >&2; return 1; }
}

check holds
for variant in TWICE ANY_LIFE ABOVE_LINE NO_LINE; do
  check fails "-D$variant"
done
