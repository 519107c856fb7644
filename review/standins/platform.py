"""The cloud and its machines' workers, with the checks of the rules that concern tasks."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from .http import body_of, reply, serve
from .record import Record

HELD = ("pulling", "waiting", "running", "flushing")


@dataclass
class Limits:
    """The times of `settings.workers`."""

    report_s: float = 2.0
    lease_s: float = 14.0
    cancel_s: float = 44.0
    gang_wait_s: float = 50.0
    gang_peer_s: float = 6.0


@dataclass
class MachineType:
    """A machine type of the cloud."""

    sku: str = "cabecar-16"
    cores: float = 16.0
    memory_gb: float = 64.0
    ready_s: float = 2.0
    pull_gb_per_s: float = 0.8
    yards: tuple[str, ...] = ("escazu", "cartago", "liberia-edge")


@dataclass(eq=False)
class Task:
    """One attempt of a task on a worker."""

    pick: str
    attempt: int
    job: dict[str, Any]
    status: str = "pulling"
    cause: str | None = None
    on_machine: bool = False
    lost_mate: bool = False
    timer: asyncio.Handle | None = None

    def entry(self) -> dict[str, Any]:
        """The task's entry in a report."""
        entry = {"pick": self.pick, "try": self.attempt, "status": self.status}
        if self.cause is not None:
            entry["cause"] = self.cause
        return entry


@dataclass(eq=False)
class Worker:
    """The worker of one machine."""

    name: str
    platform: Platform
    rig: MachineType
    yard: str
    loaners: bool
    addr: str = ""
    shift: int = 1
    tally: int = 0
    baton: int = 0
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    results: set[str] = field(default_factory=set)
    images: set[str] = field(default_factory=set)
    lease_from: float = field(default_factory=time.monotonic)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    gone: bool = False
    born: float = field(default_factory=time.monotonic)
    reporting: asyncio.Task[None] | None = None
    runner: web.AppRunner | None = None
    target: int = 0
    held: dict[str, Task] = field(default_factory=dict)
    cores: float = 0.0
    memory_gb: float = 0.0
    token_reported_at: float = 0.0

    # Reports

    async def boot(self) -> None:
        """Come up after the boot time, then report."""
        await asyncio.sleep(self.rig.ready_s * random.uniform(0.6, 1.5))
        app = web.Application(client_max_size=1 << 22)
        app.add_routes([web.post("/do", self.do), web.get("/show", self.show)])
        self.runner, self.addr = await serve(app)
        self.lease_from = time.monotonic()
        self.target = random.randrange(len(self.platform.controllers))
        leases = asyncio.create_task(self.watch_lease())
        try:
            await self.report_forever()
        finally:
            leases.cancel()
            await self.runner.cleanup()

    def report(self) -> bytes:
        """The next report."""
        self.tally += 1
        return msgspec.msgpack.encode(
            {
                "box": self.name,
                "addr": self.addr,
                "rig": self.rig.sku,
                "yard": self.yard,
                "loaners": self.loaners,
                "shift": self.shift,
                "tally": self.tally,
                "baton": self.baton,
                "recall_s": None,
                "picks": [task.entry() for task in self.tasks.values()],
            }
        )

    async def report_forever(self) -> None:
        """Send reports until the machine is gone."""
        limits = self.platform.limits
        async with aiohttp.ClientSession() as session:
            while not self.gone:
                sent_at, shift = time.monotonic(), self.shift
                self.changed.clear()
                status, answer = await self.send(session)
                if status != 200:
                    self.platform.refused(self, status)
                    self.target = (self.target + 1) % len(self.platform.controllers)
                    await asyncio.sleep(1.0)
                    continue
                if shift == self.shift and answer.get("baton", -1) >= self.baton:
                    self.lease_from = max(self.lease_from, sent_at)
                    self.see(answer["baton"])
                    self.execute(answer["orders"])
                next_at = sent_at + limits.report_s * random.uniform(0.75, 1.25)
                await asyncio.sleep(max(0.0, sent_at + 0.5 - time.monotonic()))
                try:
                    async with asyncio.timeout(max(0.0, next_at - time.monotonic())):
                        await self.changed.wait()
                except TimeoutError:
                    pass

    async def send(self, session: aiohttp.ClientSession) -> tuple[int, Any]:
        """Send one report; the status is 0 without a usable answer."""
        url = f"http://{self.platform.controllers[self.target]}/checkin"
        body = self.report()
        self.platform.longest_report = max(self.platform.longest_report, len(body))
        try:
            async with asyncio.timeout(4.0), session.post(url, data=body) as response:
                raw = await response.read()
                if response.status != 200:
                    return response.status, None
                return 200, msgspec.msgpack.decode(raw)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
            return 0, None

    async def watch_lease(self) -> None:
        """End the session when the lease has run out."""
        while not self.gone:
            await asyncio.sleep(0.1)
            self.check_lease()

    def check_lease(self) -> None:
        """Kill and forget all tasks if the lease has run out."""
        if time.monotonic() - self.lease_from <= self.platform.limits.lease_s:
            return
        held = [task for task in self.tasks.values() if task.status in HELD]
        self.platform.lease_ended(self, held)
        for task in held:
            self.platform.leave(self, task)
        self.tasks.clear()
        self.shift += 1
        self.lease_from = time.monotonic()
        self.changed.set()

    # Commands

    async def do(self, request: web.Request) -> web.StreamResponse:
        """POST /do."""
        body = await body_of(request)
        if "baton" not in body or "shift" not in body:
            return reply({}, 400)
        self.check_lease()
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return web.Response(status=409, body=self.report())
        self.see(body["baton"])
        self.execute(body["orders"])
        return web.Response(body=self.report())

    async def show(self, _: web.Request) -> web.StreamResponse:
        """GET /show."""
        return web.Response(body=self.report())

    def see(self, baton: int) -> None:
        """Remember the highest token."""
        if baton > self.baton:
            self.baton = baton
            now = time.monotonic()
            if now - self.token_reported_at >= self.platform.limits.lease_s / 2:
                # A higher token counts as a change at most once in half of a lease.
                self.token_reported_at = now
                self.changed.set()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Execute commands in order."""
        for order in orders:
            key = (order["pick"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "start" and task is None:
                self.start(*key)
            elif order["verb"] == "stop" and task is not None and task.status in HELD:
                self.exit(task, "stopped")
            elif order["verb"] == "clear" and task is not None and task.status == "exited":
                del self.tasks[key]
                self.changed.set()

    def start(self, pick: str, attempt: int) -> None:
        """Start an attempt, or refuse it."""
        ref, _, number = pick.rpartition("/")
        job = self.platform.jobs.get(ref)
        task = Task(pick, attempt, job or {})
        busy = self.held.get(pick)
        self.tasks[pick, attempt] = task
        self.changed.set()
        if job is None or int(number) >= job["picks"]:
            self.exit(task, "no_such")
        elif busy is not None:
            self.exit(task, "busy")
        elif not self.has_room(job):
            self.exit(task, "no_room")
        else:
            self.held[pick] = task
            self.cores += job["cores"]
            self.memory_gb += job["memory_gb"]
            wait_s = 0.0 if job["kit"] in self.images else job["image_gb"] / self.rig.pull_gb_per_s
            loop = asyncio.get_running_loop()
            task.timer = loop.call_later(wait_s, self.image_ready, task)

    def has_room(self, job: dict[str, Any]) -> bool:
        """Whether one more task of the job fits."""
        cores, memory_gb = self.cores + job["cores"], self.memory_gb + job["memory_gb"]
        return cores <= self.rig.cores + 1e-6 and memory_gb <= self.rig.memory_gb + 1e-6

    def release(self, task: Task) -> None:
        """Give back what a task took of the machine."""
        if self.held.get(task.pick) is task:
            del self.held[task.pick]
            self.cores -= task.job["cores"]
            self.memory_gb -= task.job["memory_gb"]

    def image_ready(self, task: Task) -> None:
        """The task has its image: from now on it is on the machine."""
        if task.status != "pulling" or self.gone:
            return
        self.images.add(task.job["kit"])
        self.platform.enter(self, task)
        self.changed.set()
        if task.pick in self.platform.results:
            self.exit(task, "done")
        elif task.job["shape"] == "ensemble":
            task.status = "waiting"
            self.platform.gang_waits(self, task)
        else:
            self.run(task)

    def run(self, task: Task) -> None:
        """Run the task for its run time."""
        task.status = "running"
        self.changed.set()
        run_s = self.platform.run_s[task.pick.rpartition("/")[0]]
        task.timer = asyncio.get_running_loop().call_later(run_s, self.finish, task)

    def finish(self, task: Task) -> None:
        """The task has completed."""
        if task.status == "running" and not self.gone:
            self.platform.results.add(task.pick)
            self.exit(task, "done")

    def exit(self, task: Task, cause: str) -> None:
        """End the task."""
        if task.timer is not None:
            task.timer.cancel()
        task.status, task.cause = "exited", cause
        self.platform.leave(self, task)
        self.changed.set()


class Platform:
    """The cloud; it also holds what users upload, and checks the rules at each start."""

    def __init__(
        self,
        record: Record,
        controllers: list[str],
        limits: Limits,
        types: list[MachineType],
        teams: dict[str, float],
        capacity: int = 5,
    ) -> None:
        self.record = record
        self.controllers = controllers
        self.limits = limits
        self.types = {rig.sku: rig for rig in types}
        self.teams = teams
        self.capacity = capacity
        """Machines of each type, zone and kind."""
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.cancelled_at: dict[str, float] = {}
        self.results: set[str] = set()
        self.workers: dict[str, Worker] = {}
        self.rentals: dict[str, list[str]] = {}
        self.on: dict[str, dict[Worker, Task]] = {}
        """Where each task is."""
        self.used: dict[str, float] = {}
        """CPUs of each team's tasks that are on machines."""
        self.yards: dict[str, dict[str, int]] = {}
        """Number of tasks on machines in each zone, by job."""
        self.gangs: dict[tuple[str, int], dict[str, tuple[Worker, Task]]] = {}
        """Tasks on machines of each gang's attempt."""
        self.starts: dict[str, int] = {}
        self.killed: dict[str, int] = {}
        """Tasks killed by the end of a lease, by job."""
        self.refusals: dict[int, int] = {}
        self.longest_report = 0
        self.down = False
        self._made = 0

    # Rules

    def enter(self, worker: Worker, task: Task) -> None:
        """A task is on its machine from now on."""
        ref = task.pick.rpartition("/")[0]
        now = time.monotonic()
        self.starts[task.pick] = self.starts.get(task.pick, 0) + 1
        self.record.line(f"{worker.name}: {task.pick} try {task.attempt} is on the machine")
        places = self.on.setdefault(task.pick, {})
        for other, held in places.items():
            if other is not worker and not other.gone:
                text = f"{task.pick} starts on {worker.name}, try {task.attempt}, while try "
                self.record.breaks("ran_twice", f"{text}{held.attempt} is on {other.name}")
        places[worker] = task
        task.on_machine = True
        told = self.cancelled_at.get(ref)
        if told is not None and now - told > self.limits.cancel_s:
            self.record.breaks("ran_cancelled", f"{task.pick} starts {now - told:.1f} s after")
        self._count(worker, task, 1)
        self._check_place(worker, task)
        crew = task.job["crew"]
        limit = self.teams.get(crew, 0.0)
        if 0 < limit < self.used[crew] - 1e-6:
            self.record.breaks("quota", f"{crew} uses {self.used[crew]} cores")

    def _count(self, worker: Worker, task: Task, sign: int) -> None:
        ref, crew = task.pick.rpartition("/")[0], task.job["crew"]
        self.used[crew] = self.used.get(crew, 0.0) + sign * task.job["cores"]
        yards = self.yards.setdefault(ref, {})
        yards[worker.yard] = yards.get(worker.yard, 0) + sign
        if not yards[worker.yard]:
            del yards[worker.yard]

    def _check_place(self, worker: Worker, task: Task) -> None:
        job = task.job
        yards = self.yards[task.pick.rpartition("/")[0]]
        wrong = (
            (job["rigs"] is not None and worker.rig.sku not in job["rigs"])
            or (job["yard"] is not None and worker.yard != job["yard"])
            or (worker.loaners and not job["loaners"])
            or (job["together"] and len(yards) > 1)
            or (job["apart"] and yards[worker.yard] > -(-job["picks"] // 2))
        )
        if wrong:
            self.record.breaks("wrong_place", f"{task.pick} starts on {worker.name}: {yards}")

    def leave(self, worker: Worker, task: Task) -> None:
        """A task is no longer on its machine."""
        worker.release(task)
        if task.timer is not None:
            task.timer.cancel()
        if task.on_machine:
            task.on_machine = False
            self.on.get(task.pick, {}).pop(worker, None)
            self._count(worker, task, -1)
            how = task.cause or "killed"
            self.record.line(f"{worker.name}: {task.pick} try {task.attempt} ends: {how}")
            if task.job["shape"] == "ensemble" and task.cause != "done":
                self._gang_lost(task)

    def check_cancelled(self) -> None:
        """Check that no task of a cancelled job is on a machine for too long."""
        now = time.monotonic()
        for pick, spots in self.on.items():
            told = self.cancelled_at.get(pick.rpartition("/")[0])
            late = told is not None and now - told > self.limits.cancel_s
            if late and any(not place.gone for place in spots):
                self.record.breaks("ran_cancelled", f"{pick} is still on a machine")

    def lease_ended(self, worker: Worker, held: list[Task]) -> None:
        """A worker's lease has run out."""
        self.record.line(f"{worker.name}: lease ran out, {len(held)} tasks are killed")
        for task in held:
            ref = task.pick.rpartition("/")[0]
            self.killed[ref] = self.killed.get(ref, 0) + 1

    def refused(self, worker: Worker, status: int) -> None:
        """A report got another answer than 200."""
        self.refusals[status] = self.refusals.get(status, 0) + 1
        size = self.longest_report
        self.record.line(f"{worker.name}: report answered {status} (longest report {size} bytes)")

    # Gangs

    def gang_waits(self, worker: Worker, task: Task) -> None:
        """A task of a gang has its image; the last one starts all."""
        ref = task.pick.rpartition("/")[0]
        members = self.gangs.setdefault((ref, task.attempt), {})
        members[task.pick] = (worker, task)
        if len(members) == task.job["picks"]:
            for place, member in members.values():
                if member.timer is not None:
                    member.timer.cancel()
                place.run(member)
        else:
            loop = asyncio.get_running_loop()
            task.timer = loop.call_later(self.limits.gang_wait_s, self._gang_gives_up, worker, task)

    def _gang_gives_up(self, worker: Worker, task: Task) -> None:
        if task.status == "waiting":
            worker.exit(task, "incomplete")

    def _gang_lost(self, task: Task) -> None:
        members = self.gangs.get((task.pick.rpartition("/")[0], task.attempt), {})
        members.pop(task.pick, None)
        for worker, member in members.values():
            if member.status == "running" and not member.lost_mate:
                # Without the lost task the gang makes no progress and cannot complete.
                member.lost_mate = True
                if member.timer is not None:
                    member.timer.cancel()
                loop = asyncio.get_running_loop()
                delay_s = self.limits.gang_peer_s / 2
                member.timer = loop.call_later(delay_s, self._mates_gone, worker, member)

    def _mates_gone(self, worker: Worker, member: Task) -> None:
        if member.status == "running" and not worker.gone:
            worker.exit(member, "mates_gone")

    # The cloud

    def app(self) -> web.Application:
        """The cloud's interface."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/machine_types", self.machine_types),
                web.post("/rentals", self.rent),
                web.post("/rentals/delete", self.delete),
                web.get("/rentals", self.list_machines),
            ]
        )
        return app

    async def machine_types(self, _: web.Request) -> web.StreamResponse:
        """GET /machine_types."""
        if self.down:
            return reply({"error": "trouble"}, 503)
        rigs = [
            {
                "sku": t.sku,
                "cores": t.cores,
                "gpus": 0,
                "memory_gb": t.memory_gb,
                "local_gb": 25.0,
                "pull_gb_per_s": t.pull_gb_per_s,
                "price": 0.68 * t.cores / 16,
                "low_price": 0.24 * t.cores / 16,
                "ready_s": t.ready_s,
                "yards": list(t.yards),
            }
            for t in self.types.values()
        ]
        return reply({"rigs": rigs})

    async def rent(self, request: web.Request) -> web.StreamResponse:
        """POST /rentals."""
        body = await body_of(request)
        if self.down:
            return reply({"error": "trouble"}, 503)
        if body["hire"] not in self.rentals:
            pool = (body["rig"], body["yard"], body["loaners"])
            used = sum(
                (w.rig.sku, w.yard, w.loaners) == pool for w in self.workers.values() if not w.gone
            )
            count = min(body["number"], self.capacity - used)
            if count <= 0:
                return reply({"error": "no capacity"}, 503)
            names = [self._add(*pool) for _ in range(count)]
            self.rentals[body["hire"]] = names
        self.record.line(f"cloud: rental {body} -> {self.rentals[body['hire']]}")
        return reply({"boxes": self.rentals[body["hire"]]})

    def _add(self, rig: str, yard: str, loaners: bool) -> str:
        self._made += 1
        worker = Worker(f"m-{self._made:06d}", self, self.types[rig], yard, loaners)
        self.workers[worker.name] = worker
        worker.reporting = asyncio.create_task(worker.boot())
        return worker.name

    async def delete(self, request: web.Request) -> web.StreamResponse:
        """POST /rentals/delete."""
        body = await body_of(request)
        if self.down:
            return reply({"error": "trouble"}, 503)
        self.record.line(f"cloud: deletion of {body['boxes']}")
        for name in body["boxes"]:
            if name in self.workers:
                self.remove(self.workers.pop(name))
        return reply({})

    def remove(self, worker: Worker) -> None:
        """A machine and everything on it is gone."""
        worker.gone = True
        for task in list(worker.tasks.values()):
            self.leave(worker, task)
        if worker.reporting is not None:
            worker.reporting.cancel()

    async def list_machines(self, request: web.Request) -> web.StreamResponse:
        """GET /rentals."""
        if self.down:
            return reply({"error": "trouble"}, 503)
        after = request.query.get("after", "")
        limit = min(500, int(request.query.get("limit", "500")))
        names = sorted(name for name in self.workers if name > after)
        boxes = [
            {
                "ref": worker.name,
                "addr": worker.addr,
                "rig": worker.rig.sku,
                "yard": worker.yard,
                "loaners": worker.loaners,
                "status": "running" if worker.addr else "starting",
                "age_s": time.monotonic() - worker.born,
            }
            for worker in (self.workers[name] for name in names[:limit])
        ]
        return reply({"boxes": boxes, "more": len(names) > limit})
