#!/bin/sh
# The store turns the leader away for a short time, in which the configuration changes twice.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../play.sh" 5 config
