"""Start a controller from a checkout, with the libraries that the build put beside it."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from crosscleat.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
