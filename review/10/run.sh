#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../stand-ins-3/run-case" "$here" RestartedWorkerRefusesCalls
