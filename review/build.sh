#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python and need no build; the cases also use
# tools/mesh/platform_fakes.py of the project.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")) + [pathlib.Path("../tools/mesh/platform_fakes.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
