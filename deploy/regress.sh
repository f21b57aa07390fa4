#!/usr/bin/env bash
# Plays the standard days of the deployments in force and prints their scores
# beside the last ones in the journal. Not part of CI, which has no bench.
#
#   deploy/regress.sh BENCH SITES [JOBS]
#
# BENCH is the bench's program, SITES the directory with the site files.
set -euo pipefail
if [ $# -lt 2 ]; then
  sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
bench=$1 sites=$2 jobs=${3:-3}
cd "$(dirname "$0")/.."
for site in further/derwent-press further-grown/derwent-press-grown grown/colle-avvisi-grown grown/macaskill-tags-grown large/colle-avvisi-large; do
  name=$(basename "$site")
  last=$("$bench" journal list | awk -v name="$name" '$3 == "score" && $4 == name { score = $5 } END { print score }')
  echo "== $name, last recorded score: ${last:-none}"
  "$bench" score "$sites/$site.toml" --jobs "$jobs" --why "regression run" |
    grep -E '^(score on|day |quiet|trouble|scale|fresh|GATE|.*is broken)' || echo "$name was not played to the end"
done
