"""Direct commands to one machine: which ones may still be executed, and when they are paused."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from ..model.ids import LONG_AGO, Seconds, Token
from .allocations import AttemptKey

MAX_EXTRA_STARTS = 20
"""Some starts are dropped once there are more than twice the listed attempts plus this number."""


@dataclass(slots=True)
class DirectChannel:
    """The state of direct commands to one machine."""

    in_flight: bool = False
    """Whether a direct command was sent whose outcome is not known yet."""
    pending_start_token: int = 0
    """A direct start sent with this fencing token or a lower one may still be executed."""
    starts: dict[AttemptKey, Token] = field(default_factory=dict)
    """Attempts of this agent epoch whose start was sent directly, with its fencing token."""
    failures: int = 0
    """Number of consecutive direct commands that failed."""
    paused_until: Seconds = LONG_AGO
    """Until this time, after a failed command, orders are only sent in heartbeat responses."""

    def drop_starts(
        self, listed: Collection[AttemptKey], allocated: Collection[AttemptKey]
    ) -> None:
        """Forget starts of attempts that are neither listed nor allocated, once there are many."""
        if len(self.starts) > 2 * len(listed) + MAX_EXTRA_STARTS:
            self.starts = {
                key: token
                for key, token in self.starts.items()
                if key in listed or key in allocated
            }
