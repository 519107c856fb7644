"""Install the pinned run-time libraries under target/deps and compile everything once.

Compiling here matters: a controller may own a fifth of a core, and byte-compiling
its libraries at every start would cost it seconds of leadership.
"""

import compileall
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
WANTED = ROOT / "requirements.txt"
STAMP = DEPS / ".installed"


def main() -> int:
    """Install what is wanted, unless it is there, and compile it."""
    wanted = WANTED.read_text()
    if not STAMP.exists() or STAMP.read_text() != wanted:
        DEPS.mkdir(parents=True, exist_ok=True)
        command = [sys.executable, "-m", "pip", "install", "-q", "-U", "--target", str(DEPS)]
        subprocess.run([*command, "-r", str(WANTED)], check=True)
        STAMP.write_text(wanted)
    compileall.compile_dir(str(DEPS), quiet=2)
    compileall.compile_dir(str(ROOT / "src"), quiet=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
