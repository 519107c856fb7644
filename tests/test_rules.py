"""Random sequences of faults and user requests against three controllers in the simulated world.

Guards against violations of the protocol's rules that only combinations of crashes, cuts, delayed
messages and cancellations cause. The world checks the rules during each day and at its end.
"""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from crosscleat.core.model.ids import JobRef, Team, Zone
from crosscleat.core.model.job_spec import Priority, Shape

from .world import MEMBERS, REGION, ZONES, World, job

members = st.sampled_from(MEMBERS)


class Rules(RuleBasedStateMachine):
    """Random actions of a simulated day; the world itself checks the protocol's rules meanwhile."""

    @initialize(seed=st.integers(0, 2**32 - 1), upgrade=st.booleans())
    def begin(self, seed: int, upgrade: bool) -> None:
        self.world = World(seed, upgrade)
        self.jobs: list[str] = []
        self.world.clock.advance(4.0)

    @rule(seconds=st.sampled_from((0.3, 1.0, 4.0, 12.0)))
    def wait(self, seconds: float) -> None:
        self.world.clock.advance(seconds)

    @rule(
        tasks=st.integers(1, 6),
        team=st.sampled_from(("red", "blue")),
        priority=st.sampled_from(Priority),
        place=st.sampled_from(("any", "one_zone", "spread", "zone", "ordinary")),
        kind=st.sampled_from(("plain", "plain", "plain", "broken")),
        shape=st.sampled_from((Shape.ARRAY, Shape.ARRAY, Shape.GANG)),
    )
    def submit(
        self, tasks: int, team: str, priority: Priority, place: str, kind: str, shape: Shape
    ) -> None:
        ref = f"job-{len(self.jobs):06d}"
        self.jobs.append(ref)
        self.world.users.submit(
            job(
                ref,
                tasks=tasks,
                team=Team(team),
                priority=priority,
                job_class=kind if shape is Shape.ARRAY else "plain",
                shape=shape,
                one_zone=place == "one_zone",
                spread=place == "spread",
                zone=Zone(ZONES[0]) if place == "zone" else None,
                spot=place != "ordinary",
            )
        )
        self.world.clock.advance(0.4)

    @rule(tasks=st.integers(20, 120))
    def submit_many_tasks(self, tasks: int) -> None:
        """Submit more tasks than one value of the store can hold after `drop_limits`."""
        ref = f"job-{len(self.jobs):06d}"
        self.jobs.append(ref)
        spec = job(ref, tasks=tasks, cpus=0.1, memory_gb=0.1, team=Team("blue"), estimate_s=3.0)
        self.world.users.submit(spec)
        self.world.clock.advance(0.4)

    @rule(member=members, downtime_s=st.sampled_from((0.05, 0.5, 5.0)))
    def change(self, member: str, downtime_s: float) -> None:
        """Restart a controller with the new version."""
        self.world.upgrade(member, downtime_s)

    @rule()
    def drop_limits(self) -> None:
        self.world.drop_limits()

    @rule(which=st.integers(0, 50))
    def query(self, which: int) -> None:
        self.world.users.query(self.jobs[which % len(self.jobs)] if self.jobs else "job-nobody")
        self.world.users.query("job-unknown")
        self.world.clock.advance(0.2)

    @rule(which=st.integers(0, 50))
    def cancel(self, which: int) -> None:
        if self.jobs:
            self.world.users.cancel(self.jobs[which % len(self.jobs)])
            self.world.clock.advance(0.4)

    @rule(member=members, downtime_s=st.sampled_from((0.05, 0.2, 5.0)))
    def crash(self, member: str, downtime_s: float) -> None:
        self.world.crash(member, downtime_s)

    @rule(downtime_s=st.sampled_from((0.05, 0.2, 3.0)))
    def crash_all(self, downtime_s: float) -> None:
        for member in MEMBERS:
            self.world.crash(member, downtime_s)

    @rule(after_s=st.sampled_from((0.01, 0.03, 0.08)), downtime_s=st.sampled_from((0.05, 0.5)))
    def crash_in_an_election(self, after_s: float, downtime_s: float) -> None:
        """Crash the leader, and shortly after it another controller, which may be taking over."""
        leading = [m for m, p in self.world.processes.items() if p and p.controller.leader]
        for member in leading:
            self.world.crash(member, downtime_s)
        self.world.clock.advance(after_s)
        for member in MEMBERS:
            if member not in leading:
                self.world.crash(member, downtime_s)
                break

    @rule(
        member=members,
        mode=st.sampled_from(("hold", "reset")),
        what=st.sampled_from(("workers", "store", "peers", "all", "store and peers")),
    )
    def cut(self, member: str, mode: str, what: str) -> None:
        network = self.world.network
        if what in ("workers", "all"):
            for worker in self.world.workers:
                network.cut(member, worker, mode)
        if what in ("store", "all", "store and peers"):
            network.cut(member, REGION, mode)
        if what in ("peers", "all", "store and peers"):
            for other in MEMBERS:
                if other != member:
                    network.cut(member, other, mode)

    @rule(which=st.integers(0, 30), mode=st.sampled_from(("hold", "reset")))
    def cut_machine(self, which: int, mode: str) -> None:
        names = sorted(self.world.workers)
        if names:
            for member in MEMBERS:
                self.world.network.cut(names[which % len(names)], member, mode)

    @rule(which=st.integers(0, 30), what=st.sampled_from(("answers", "direct")))
    def deafen(self, which: int, what: str) -> None:
        """Block all messages from the controllers to a machine, or only direct commands.

        Its heartbeats still reach the controllers.
        """
        names = sorted(self.world.workers)
        if not names:
            return
        name = names[which % len(names)]
        if what == "direct":
            self.world.direct_commands_blocked.add(name)
        else:
            self.world.network.one_way_cuts.update((member, name) for member in MEMBERS)

    @rule(chance=st.sampled_from((0.0, 0.2, 0.6)))
    def late_copies(self, chance: float) -> None:
        self.world.duplicates = chance

    @rule(which=st.integers(0, 30))
    def restart_machine(self, which: int) -> None:
        names = [n for n, w in sorted(self.world.workers.items()) if not w.dead]
        if names:
            self.world.workers[names[which % len(names)]].restart()

    @rule()
    def heal(self) -> None:
        self.world.network.heal()

    @rule(seconds=st.sampled_from((2.0, 15.0, 40.0)))
    def outage(self, seconds: float) -> None:
        self.world.store.outage(seconds)

    @rule(member=members, seconds=st.sampled_from((3.0, 20.0)))
    def refuse(self, member: str, seconds: float) -> None:
        self.world.store.refused_until[member] = self.world.clock.now + seconds

    @rule(which=st.integers(0, 30), seconds=st.sampled_from((3.0, 8.0, 25.0)))
    def hang(self, which: int, seconds: float) -> None:
        names = sorted(self.world.workers)
        if names:
            self.world.workers[names[which % len(names)]].hang(seconds)

    @rule(seconds=st.sampled_from((3.0, 12.0)), again=st.booleans())
    def many_machines(self, seconds: float, again: bool) -> None:
        """Let every second machine hang, or with `again` lose power and boot immediately."""
        for name in sorted(self.world.workers)[::2]:
            worker = self.world.workers[name]
            if again and not worker.dead:
                worker.restart()
            else:
                worker.hang(seconds)

    @rule(member=members, seconds=st.sampled_from((2.0, 9.0, 25.0)), deciding=st.booleans())
    def stand_still(self, member: str, seconds: float, deciding: bool) -> None:
        """Freeze a controller while its clocks run on.

        With `deciding` it freezes after its next step with effects, before they are executed.
        """
        process = self.world.processes[member]
        if process is not None and deciding:
            process.freeze_after_step_s = seconds
        else:
            self.world.freeze(member, seconds)

    @rule(member=members, input_processing_s=st.sampled_from((0.0, 0.02, 0.08)))
    def slow(self, member: str, input_processing_s: float) -> None:
        process = self.world.processes[member]
        if process is not None:
            process.input_processing_s = input_processing_s

    @rule(which=st.integers(0, 30))
    def mute(self, which: int) -> None:
        """Block the heartbeats of a machine; direct commands still reach it."""
        names = sorted(self.world.workers)
        if names:
            self.world.heartbeats_blocked.add(names[which % len(names)])

    @rule(chance=st.sampled_from((0.0, 0.2, 0.5)))
    def late_writes(self, chance: float) -> None:
        self.world.late_writes = chance

    @rule(seconds=st.sampled_from((0.0, 0.5, 3.0)))
    def slow_store(self, seconds: float) -> None:
        self.world.slow_store_s = seconds

    @rule(prefix=st.sampled_from(("live/", "work/", "drop/")), seconds=st.sampled_from((0.0, 9.0)))
    def slow_scan(self, prefix: str, seconds: float) -> None:
        self.world.slow_scans[prefix] = seconds

    @rule(count=st.integers(2, 8), hang_s=st.sampled_from((0.0, 6.0, 25.0)))
    def cancel_now(self, count: int, hang_s: float) -> None:
        """Cancel several running jobs at once; some of their machines may hang."""
        world = self.world
        running_jobs = {task.job for w in world.workers.values() for task, _ in w.tasks}
        refs = [ref for ref in self.jobs if JobRef(ref) in running_jobs][:count]
        for ref in refs:
            world.users.cancel(ref)
        for worker in list(world.workers.values())[:8] if hang_s else ():
            if any(task.job in refs for task, _ in worker.tasks):
                worker.hang(hang_s)
        world.clock.advance(0.2)

    @rule(chance=st.sampled_from((0.0, 0.5, 1.0)))
    def cancel_at_end(self, chance: float) -> None:
        self.world.cancel_at_end = chance

    @rule(which=st.integers(0, 50))
    def odd_requests(self, which: int) -> None:
        """Submit a job again, cancel it if it has ended, and submit two that must be refused."""
        world = self.world
        if self.jobs:
            ref = self.jobs[which % len(self.jobs)]
            world.users.submit(world.specs[ref], retries=0)
            if ref in world.final_statuses:
                world.users.cancel(ref)
        world.users.submit_invalid(job(f"job-large-{which}", cpus=64.0), f"job-large-{which}", 422)
        world.users.submit_invalid(None, f"job-odd-{which}", 400)
        world.clock.advance(0.2)

    @rule(
        times=st.integers(3, 10),
        apart_s=st.sampled_from((0.5, 3.0, 12.0)),
        downtime_s=st.sampled_from((0.05, 0.5, 5.0)),
        outage_s=st.sampled_from((0.0, 20.0)),
    )
    def many_leaders(self, times: int, apart_s: float, downtime_s: float, outage_s: float) -> None:
        """Crash one leader after another, possibly during an outage of the store."""
        if outage_s:
            self.world.store.outage(outage_s)
        for _ in range(times):
            self.world.end_leader(downtime_s)
            self.world.clock.advance(apart_s)

    @rule(
        until_out_s=st.sampled_from((0.2, 1.0, 1.9, 3.0)),
        out_s=st.sampled_from((17.0, 25.0, 31.0, 45.0)),
        count=st.integers(1, 4),
    )
    def gap(self, until_out_s: float, out_s: float, count: int) -> None:
        """Have the store refuse only the leader, cancel jobs, then start an outage.

        Other controllers can confirm the cancellations before the outage.
        """
        world = self.world
        for member in world.leading():
            world.store.refused_until[member] = world.clock.now + 14.0
        world.clock.advance(0.1)
        for ref in self.jobs[-count:]:
            world.users.cancel(ref)
        world.clock.advance(until_out_s)
        world.store.outage(out_s)

    @rule(mode=st.sampled_from(("hold", "reset")), zone=st.sampled_from(ZONES))
    def cut_zone(self, mode: str, zone: str) -> None:
        self.world.cut_zone(zone, mode)

    @rule(apart_s=st.sampled_from((0.1, 3.0)), downtime_s=st.sampled_from((0.1, 2.0)))
    def roll(self, apart_s: float, downtime_s: float) -> None:
        """Restart all controllers in turn, with late copies of heartbeats and direct commands."""
        self.world.duplicates = 0.6
        for member in MEMBERS:
            self.world.crash(member, downtime_s)
            self.world.clock.advance(apart_s)

    @rule(which=st.integers(0, 30))
    def die(self, which: int) -> None:
        names = sorted(self.world.workers)
        if names:
            worker = self.world.workers[names[which % len(names)]]
            worker.dead = True
            worker.tasks.clear()

    @rule(which=st.integers(0, 30))
    def take_back(self, which: int) -> None:
        names = [n for n, w in sorted(self.world.workers.items()) if w.spot]
        if names:
            worker = self.world.workers[names[which % len(names)]]
            worker.reclaimed_at = self.world.clock.now + 6.0

    @rule(chance=st.sampled_from((0.0, 0.1, 0.4)))
    def flaky(self, chance: float) -> None:
        self.world.flaky_call_chance = chance

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.finish()


TestRules = Rules.TestCase
TestRules.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    # Shrinking would run whole days for minutes; the first failing day is short enough to read.
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


def test_jobs_finish_in_a_world_without_faults() -> None:
    world = World(1)
    world.clock.advance(3.0)
    for number in range(5):
        world.users.submit(job(f"job-{number}", tasks=4))
    world.clock.advance(60.0)
    for number in range(5):
        world.users.query(f"job-{number}")
    world.clock.advance(1.0)
    assert world.final_statuses == {f"job-{number}": "done" for number in range(5)}
    assert world.start_count == 20
