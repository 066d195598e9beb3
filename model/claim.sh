#!/usr/bin/env bash
# Checks claim.pml and that each broken variant is found; prints state counts.
set -euo pipefail
source=$(cd "$(dirname "$0")" && pwd)/claim.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# check NAME holds|fails FLAG...
check() {
  local name=$1 wanted=$2
  shift 2
  spin -a "$@" "$source" >spin.log || { cat spin.log >&2; return 1; }
  cc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c
  ./pan -m300000 -w24 >"$name.log" 2>&1 || true
  local states errors
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$name.log")
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$name.log")
  echo "claim $name: ${states:-?} states, ${errors:-?} errors"
  if grep -q 'max search depth too small\|out of memory' "$name.log"; then
    echo "claim $name: the search was cut short" >&2
    return 1
  fi
  case $wanted in
  holds) [ "${errors:-1}" = 0 ] ;;
  fails) [ "${errors:-0}" != 0 ] ;;
  esac || { echo "claim $name: expected that it $wanted" >&2; return 1; }
}

check protocol holds
check wrong_proof holds -DWRONG_PROOF -DWRITES=1
check rerun fails -DRERUN
check late_claim fails -DLATE_CLAIM
check blind_end fails -DBLIND_END
