#!/bin/bash
# Builds the programs of the review's cases, with their stand-ins, into target/review. Needs no network once the
# build command of the deploy file has run: the stand-ins use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]; do
	go build -o "target/review/case${folder##*/}" "./$folder"
done
