#!/bin/sh
# The stand-ins of the cases use Python's standard library only; compiling them checks their syntax.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins 1 2 3 4 5 beyond
