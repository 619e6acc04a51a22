#!/usr/bin/env bash
# Runs a case five times and once without its disruption, and prints how often the rule was broken: review/run-five-times.sh N
cd "$(dirname "$0")/$1" || exit 2
broken=0
for _ in 1 2 3 4 5; do
  ./run.sh >/dev/null
  code=$?
  [ "$code" = 1 ] && broken=$((broken + 1))
  echo "exit code $code"
done
TROUBLE=0 ./run.sh >/dev/null
echo "case $1: broken in $broken of 5 runs; exit code without the disruption: $?"
