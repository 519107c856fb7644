"""Install the pinned run-time libraries under target/deps, and byte-compile them and src.

A controller may have only a fifth of a CPU core. Byte-compiling its libraries at every start would
cost it seconds in which it could lead.
"""

import compileall
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
REQUIREMENTS = ROOT / "requirements.txt"
STAMP = DEPS / ".installed"


def main() -> int:
    """Install the libraries unless they are installed already, and byte-compile them and src."""
    requirements = REQUIREMENTS.read_text()
    if not STAMP.exists() or STAMP.read_text() != requirements:
        DEPS.mkdir(parents=True, exist_ok=True)
        command = [sys.executable, "-m", "pip", "install", "-q", "-U", "--target", str(DEPS)]
        subprocess.run([*command, "-r", str(REQUIREMENTS)], check=True)
        STAMP.write_text(requirements)
    compileall.compile_dir(str(DEPS), quiet=2)
    compileall.compile_dir(str(ROOT / "src"), quiet=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
