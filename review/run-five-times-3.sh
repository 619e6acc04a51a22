#!/bin/sh
# Runs each script five times with the disruption and once without it, and prints the exit codes.
cd "$(dirname "$0")"
for case in ${*:-11 12 13 14 15}; do
  for run in 1 2 3 4 5; do
    ./"$case"/run.sh > /dev/null 2>&1
    echo "review/$case run $run: exit $?"
  done
  TROUBLE=0 ./"$case"/run.sh > /dev/null 2>&1
  echo "review/$case TROUBLE=0: exit $?"
done
