#!/usr/bin/env bash
# Verifies budget.pml with Spin and shows that each broken variant fails.
# Generated files go into a folder of their own below the working folder.
set -euo pipefail
model=$(cd "$(dirname "$0")" && pwd)/budget.pml
work=$PWD/budget-model
mkdir -p "$work"

# build NAME [-DVARIANT]: makes the verifier $work/NAME/pan
build() {
  local name=$1
  shift
  mkdir -p "$work/$name"
  (cd "$work/$name" &&
    spin -a "$@" "$model" >spin.log &&
    gcc -O1 -DSAFETY -DMEMLIM=2000 -w -o pan pan.c)
}

build sound
(cd "$work/sound" && ./pan -m100000 >pan.log)
grep -q 'errors: 0' "$work/sound/pan.log" || {
  echo "budget.pml: the sound protocol fails"
  cat "$work/sound/pan.log"
  exit 1
}
if grep -Eq 'Search not completed|max search depth too small|out of memory' \
  "$work/sound/pan.log"; then
  echo "budget.pml: the search was not complete"
  cat "$work/sound/pan.log"
  exit 1
fi
states=$(awk '/states, stored/ { print $1 }' "$work/sound/pan.log")
echo "budget.pml: verified, $states states stored"

for variant in LEASE_ONLY READ_BACK NO_HOLD NO_NUMBER; do
  build "$variant" "-D$variant"
  (cd "$work/$variant" && ./pan -m100000 >pan.log)
  grep -q 'assertion violated' "$work/$variant/pan.log" || {
    echo "budget.pml: the broken variant $variant was not found out"
    exit 1
  }
  echo "budget.pml: broken variant $variant fails, as it must"
done
