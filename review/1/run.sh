#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec timeout 118 python3 case.py
