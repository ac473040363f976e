#!/bin/sh
# Builds what the scripts of the third review start: the stand-ins of this project and
# those beside the scripts. They need only the packages in target/deps.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
from pathlib import Path

import standins.platformstore
import standins.replica

import review.fleet3

files = [Path("review/fleet3.py")]
files += [path for n in range(11, 16) for path in Path(f"review/{n}").glob("*.py")]
for path in files:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print(f"{len(files)} files of the third review are ready")
PYTHON
