#!/bin/sh
# Workers crash one after the other, and start again, while jobs run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../../play.sh" other/crashes crashes
