"""The load balancer: it probes the controllers and gives users one that is healthy."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any

from .deployment import MEMBERS, Deployment

FIRST_PAUSE_S, MAX_PAUSE_S = 3.0, 60.0
REMOVAL_WINDOW_S = 120.0
PROBE_INTERVAL_S = PROBE_TIMEOUT_S = 1.0


@dataclass
class Node:
    """What the probes have shown of one controller."""

    healthy: bool = False
    ever_healthy: bool = False
    probes: list[bool] = field(default_factory=list)
    removals: list[float] = field(default_factory=list)
    not_before: float = 0.0


class Balancer:
    """Judges the health of each controller as the protocol's page says."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.nodes = [Node() for _ in MEMBERS]
        self._tasks = [asyncio.create_task(self._probe(n)) for n in range(len(MEMBERS))]

    def stop(self) -> None:
        """End the probes."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, n: int) -> None:
        while True:
            began = time.monotonic()
            status, _ = await self._deployment.ask(n, "GET", "/ready", None, PROBE_TIMEOUT_S)
            self._judge(n, status == 200)
            await asyncio.sleep(max(0.0, began + PROBE_INTERVAL_S - time.monotonic()))

    def _judge(self, n: int, success: bool) -> None:
        node, now = self.nodes[n], time.monotonic()
        node.probes = [*node.probes[-5:], success]
        if node.healthy:
            if not any(node.probes[-2:]) or node.probes.count(False) >= 3:
                node.healthy = False
                node.removals = [at for at in node.removals if now - at < REMOVAL_WINDOW_S]
                pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** len(node.removals))
                node.removals.append(now)
                node.not_before = now + pause_s
                self._deployment.record.line(f"load balancer: {MEMBERS[n]} is unhealthy")
        elif success and (not node.ever_healthy or all(node.probes[-2:])) and now > node.not_before:
            node.healthy = node.ever_healthy = True
            node.probes = []
            self._deployment.record.line(f"load balancer: {MEMBERS[n]} is healthy")

    async def poll(self, ref: str) -> tuple[int, Any]:
        """Ask for a job's status through the load balancer; 0 if no controller answers in time."""
        healthy = [n for n, node in enumerate(self.nodes) if node.healthy]
        if not healthy:
            self._deployment.record.line(f"user: GET /work/{ref}: no healthy controller")
            return 0, None
        return await self._deployment.poll(ref, random.choice(healthy))
