#!/bin/sh
# A finding and no case: see finding.txt. Exits with 1 if it was seen, 0 if not, 2 if it could not run.
cd "$(dirname "$0")" && PYTHONPATH=../../standins exec python3 case.py
