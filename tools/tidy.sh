#!/usr/bin/env bash
# Adds replace directives for the workspace's modules to each module and tidies it.
set -euo pipefail
cd "$(dirname "$0")/.."
modules=$(sed -n 's|^\t\./||p' go.work)
for m in $modules; do
  for dep in $modules; do
    [ "$m" = "$dep" ] || (cd "$m" && GOWORK=off go mod edit -replace "peridotchute.example/$dep=../$dep")
  done
done
for m in $modules; do
  (cd "$m" && GOWORK=off GOFLAGS=-mod=mod go mod tidy)
done
go work sync
