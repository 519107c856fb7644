"""Three controllers, started with the deploy file's command, beside the stand-ins."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import subprocess
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from .http import call, free_ports, serve
from .platform import Limits, MachineType, Platform
from .proxy import Proxy
from .record import Record
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("escazu", "cartago", "liberia-edge")
MEMBERS = ("cleatbox-0", "cleatbox-1", "cleatbox-2")


@dataclass
class Shape:
    """The settings of a small deployment: those of the site agendasalud-sched."""

    limits: Limits = field(default_factory=Limits)
    types: list[MachineType] = field(default_factory=lambda: [MachineType()])
    teams: dict[str, tuple[float, float]] = field(
        default_factory=lambda: {"plataforma": (240.0, 712.0), "integraciones": (160.0, 392.0)}
    )
    rps: float = 200.0
    write_rps: float = 20.0
    value_kb: float = 32.0
    txn_ops: int = 16
    capacity: int = 5


class Deployment:
    """The stand-ins, the controllers' processes and the links between them."""

    def __init__(self, folder: Path, record: Record, shape: Shape) -> None:
        self.folder, self.record, self.shape = folder, record, shape
        ports = free_ports(6)
        self.listen = [f"127.0.0.1:{port}" for port in ports[:3]]
        self.binds = [f"127.0.0.1:{port}" for port in ports[3:]]
        self.store = Store(record, shape.rps, shape.write_rps, shape.value_kb)
        self.platform = Platform(
            record,
            self.listen,
            shape.limits,
            shape.types,
            {name: limit for name, (_, limit) in shape.teams.items()},
            shape.capacity,
        )
        self.processes: list[subprocess.Popen[bytes] | None] = [None, None, None]
        self.state_links: list[Proxy] = []
        self.peer_links: dict[tuple[int, int], Proxy] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._log = (folder / "controllers.log").open("wb")
        self.session: aiohttp.ClientSession

    async def start(self, log_level: str = "info") -> None:
        """Start the stand-ins and all controllers."""
        self.session = aiohttp.ClientSession()
        _, state = await serve(self.store.app())
        _, cloud = await serve(self.platform.app())
        self._tasks = [asyncio.create_task(self.store.run())]
        for n in range(3):
            link = Proxy(state)
            await link.start()
            self.state_links.append(link)
            for m in range(3):
                if m != n:
                    self.peer_links[n, m] = Proxy(self.binds[m])
                    await self.peer_links[n, m].start()
        for n in range(3):
            (self.folder / f"{n}.toml").write_text(self._settings(n, cloud))
        self.log_level = log_level
        for n in range(3):
            self.start_controller(n)

    def _settings(self, n: int, cloud: str) -> str:
        shape, limits = self.shape, self.shape.limits
        peers = "".join(
            f'[[peers]]\nmember = "{MEMBERS[m]}"\nzone = "{ZONES[m]}"\n'
            f'endpoint = "{self.peer_links[n, m].address}"\n'
            for m in range(3)
            if m != n
        )
        teams = "".join(
            f'[[settings.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {most}\n'
            "gpus = 0.0\ngpus_max = 0.0\n"
            for name, (cpus, most) in shape.teams.items()
        )
        return (
            f'member = "{MEMBERS[n]}"\nzone = "{ZONES[n]}"\n'
            f'listen = "{self.listen[n]}"\npeer_bind = "{self.binds[n]}"\n{peers}'
            f'[endpoints]\ncloud = "{cloud}"\nstate = "{self.state_links[n].address}"\n'
            f'[settings]\nsize = 3\nzones = ["cartago", "escazu", "liberia-edge"]\n'
            f"time_bound_ms = 1000.0\n{teams}"
            f"[settings.workers]\nreport_s = {limits.report_s}\nlease_s = {limits.lease_s}\n"
            f"gang_wait_s = {limits.gang_wait_s}\ngang_peer_s = {limits.gang_peer_s}\n"
            f"cancel_s = {limits.cancel_s}\n"
            f"[settings.state]\nrps = {shape.rps}\nwrite_rps = {shape.write_rps}\n"
            f"value_kb = {shape.value_kb}\ntxn_ops = {shape.txn_ops}\n"
            "[settings.cloud]\nrps = 8.0\nlist_lag_s = 5.0\n"
            "[settings.resources]\ncores = 0.432\nram_mb = 146.0\nmax_sockets = 1000\n"
        )

    # Processes

    def start_controller(self, n: int) -> None:
        """Start a controller as the platform does."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(self.folder / f"{n}.toml")]
        self.record.line(f"{MEMBERS[n]}: started")
        environment = {**os.environ, "LOG_LEVEL": self.log_level}
        self.processes[n] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    def signal(self, n: int, number: signal.Signals) -> None:
        """Send a signal to a controller that this run started."""
        process = self.processes[n]
        assert process is not None
        self.record.line(f"{MEMBERS[n]}: {number.name}")
        process.send_signal(number)
        if number is signal.SIGKILL:
            process.wait()

    def ended(self) -> list[str]:
        """The controllers that have ended by themselves."""
        return [
            f"{MEMBERS[n]} ended with status {process.returncode}"
            for n, process in enumerate(self.processes)
            if process is not None and process.poll() not in (None, -signal.SIGKILL)
        ]

    def leader(self) -> int | None:
        """The controller that the state service names as the leader."""
        item = self.store.items.get("leader")
        return MEMBERS.index(item[0]["member"]) if item else None

    async def stop(self) -> None:
        """End everything that was started."""
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for worker in list(self.platform.workers.values()):
            self.platform.remove(worker)
        for link in [*self.state_links, *self.peer_links.values()]:
            await link.stop()
        for task in self._tasks:
            task.cancel()
        await self.session.close()
        self._log.close()

    # Users

    async def ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until all controllers answer that they are ready."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            states = [await self.ask(n, "GET", "/ready", None, 1.0) for n in range(3)]
            if all(status == 200 for status, _ in states):
                return True
            await asyncio.sleep(0.2)
        return False

    async def ask(
        self, n: int, method: str, path: str, value: Any, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Send a user's request to one controller."""
        return await call(self.session, method, f"http://{self.listen[n]}{path}", value, timeout_s)

    async def submit(self, job: dict[str, Any], run_s: float, first: int = 0) -> int:
        """Submit a job as a user does, for up to 60 s; returns the last status."""
        self.platform.jobs[job["ref"]] = job
        self.platform.run_s[job["ref"]] = run_s
        end = time.monotonic() + 60.0
        n = first
        while True:
            status, _ = await self.ask(n % 3, "POST", "/work", job)
            self.record.line(f"user: POST /work {job['ref']} at {MEMBERS[n % 3]} -> {status}")
            if status in (200, 201, 400, 422) or time.monotonic() > end:
                return status
            n += 1
            await asyncio.sleep(1.0)

    async def abort(self, ref: str, first: int = 0) -> str | None:
        """Cancel a job as a user does; returns the answer."""
        end = time.monotonic() + 60.0
        n = first
        while time.monotonic() < end:
            status, body = await self.ask(n % 3, "POST", f"/work/{ref}/abort", {})
            self.record.line(f"user: abort {ref} at {MEMBERS[n % 3]} -> {status} {body}")
            if status == 200:
                if body["status"] == "aborted":
                    self.platform.cancelled_at.setdefault(ref, time.monotonic())
                return str(body["status"])
            n += 1
            await asyncio.sleep(1.0)
        return None

    async def poll(self, ref: str, n: int = 0) -> tuple[int, Any]:
        """Ask for a job's status once."""
        status, body = await self.ask(n % 3, "GET", f"/work/{ref}", None, 2.0)
        self.record.line(f"user: GET /work/{ref} at {MEMBERS[n % 3]} -> {status} {body}")
        return status, body


def job(ref: str, **fields: Any) -> dict[str, Any]:
    """A submission; the defaults are those of the class eligibility-check."""
    return {
        "ref": ref,
        "jobline": "eligibility-check",
        "crew": "integraciones",
        "shape": "array",
        "urgency": "urgent",
        "picks": 4,
        "cores": 4.0,
        "gpus": 0.0,
        "memory_gb": 10.0,
        "kit": "img-01",
        "image_gb": 0.1,
        "rigs": None,
        "yard": None,
        "together": False,
        "apart": False,
        "loaners": True,
        "expect_s": 20.0,
        "stash_every_s": 0.0,
        "stash_s": 0.0,
        "due_s": None,
        **fields,
    }
