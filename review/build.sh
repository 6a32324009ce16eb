#!/usr/bin/env bash
# The stand-ins of the review are Python of the standard library: there is
# nothing to build.
exit 0
