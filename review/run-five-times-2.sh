#!/bin/sh
# Runs a case five times with its disruption and once without, and prints the exit codes: run-five-times-2.sh N
folder="$(dirname "$0")/$1"
for run in 1 2 3 4 5; do
  sh "$folder/run.sh"
  echo "run $run: exit code $?"
done
TROUBLE=0 sh "$folder/run.sh"
echo "without the disruption: exit code $?"
