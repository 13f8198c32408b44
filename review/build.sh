#!/usr/bin/env bash
# Builds the programs of the cases; each holds its own clients, servers and stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[1-5]/; do
	if [ -f "$folder/main.go" ]; then
		go build -o "target/review/$(basename "$folder")" "./$folder"
	fi
done
