"""Start a controller from a checkout, with the libraries that the build put beside it."""

import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent
# No connection of ours is encrypted, and reading the system's certificates, as the HTTP library
# does when it is imported, takes a fifth of the time to start.
os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from crosscleat.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
