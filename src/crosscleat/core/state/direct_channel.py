"""Direct commands to one machine: which may still be executed, and from when on more are sent."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from ..model.ids import LONG_AGO, Seconds, Token
from .allocations import AttemptKey

SPARE_STARTS = 20
"""So many more starts than twice the listed attempts are remembered before some are dropped."""


@dataclass(slots=True)
class DirectChannel:
    """The state of direct commands to one machine."""

    in_flight: bool = False
    """A direct command was sent, and its outcome is not known yet."""
    pending_start_token: int = 0
    """A direct start sent with this token or a lower one may still be executed."""
    starts: dict[AttemptKey, Token] = field(default_factory=dict)
    """Attempts of this agent epoch whose start was sent directly, and with which token."""
    failures: int = 0
    """Direct commands that failed since the last one that succeeded."""
    paused_until: Seconds = LONG_AGO
    """A direct command failed: until then commands go in responses to heartbeats alone."""

    def drop_starts(
        self, listed: Collection[AttemptKey], allocated: Collection[AttemptKey]
    ) -> None:
        """Drop starts of attempts that are neither listed nor allocated, once there are many."""
        if len(self.starts) > 2 * len(listed) + SPARE_STARTS:
            self.starts = {
                key: token
                for key, token in self.starts.items()
                if key in listed or key in allocated
            }
