#!/bin/bash
# Builds the program that plays the scripted cases of review/REPORT-3.md: clients, servers and the platform's store.
set -e
cd "$(dirname "$0")/.."
go build -o target/play-3 ./review/play-3
