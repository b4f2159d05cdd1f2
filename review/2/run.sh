#!/usr/bin/env bash
# A model server is cut off for a moment while it sends streams. Exits with 1 if two servers worked on one stream for more than 400 ms
# after the first event of the second, while both were reached, with 0 if none did, and with 2 if the case could not run. TROUBLE=0
# leaves the cuts out. With HOW=silent the server falls silent for as long instead of being cut off.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/emberlead ] && [ -x ../../target/review-stand ] || { echo "build the system, then review/build.sh"; exit 2; }
exec ../../target/review-stand cut "$(cd ../.. && pwd)" record.txt
