#!/bin/sh
# A worker starts again under its id, and its answers are cut off while it gets a start.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../../play.sh" other/restarted-worker restarted
