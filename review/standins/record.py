"""The record of a run: what was sent, answered and run, a line each."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes `record.txt`; times are seconds since the record was opened."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._began = time.monotonic()
        self.broken: list[str] = []

    def now(self) -> float:
        """Seconds since the record was opened."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def breaks(self, rule: str, text: str) -> None:
        """Write that a rule was broken, and remember it."""
        self.broken.append(f"{rule}: {text}")
        self.line(f"BROKEN {rule}: {text}")

    def result(self, text: str) -> None:
        """Write a line here and on standard output."""
        self.line(f"RESULT {text}")
        print(text, flush=True)
