#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-3/run-case" gone "$(cd "$(dirname "$0")" && pwd)"
