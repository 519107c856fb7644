"""Loads the records of earlier leaders into a new leader."""

from __future__ import annotations

from ..model.ids import Seconds, TaskId
from ..model.store_calls import Item
from ..state.allocations import Allocation
from ..state.job_records import is_cancelled
from ..state.jobs import Job
from .leader import Leader


def load_records(
    leader: Leader,
    job_records: list[Item],
    placement_records: list[Item],
    decommission_records: list[Item],
    now: Seconds,
) -> None:
    """Load stored records into a newly built leader.

    `job_records` are the records of live jobs.
    """
    for item in job_records:
        job = leader.job_changes.create_job(item, now)
        leader.jobs[job.ref] = job
    if not (placement_records or decommission_records):
        leader.autoscaler.expect_no_machines()
    leader.placement_records.load(placement_records, leader.jobs)
    leader.writer.remove(leader.placement_records.take_rewritten())
    for item, job in zip(job_records, list(leader.jobs.values()), strict=True):
        job.finish_loading()
        if job.ever_placed:
            job.idle_since = now
        _load_allocations(leader, job, now)
        if is_cancelled(item.value):
            leader.job_changes.cancel(job)
        elif job.is_gang:
            leader.gangs.resume(job)
        leader.pending.record_end_if_over(job)
    for machine_id in leader.decommission_records.load(decommission_records):
        machine = leader.machines.add_recorded(machine_id)
        machine.decommissioning = machine.decommission_recorded = True


def _load_allocations(leader: Leader, job: Job, now: Seconds) -> None:
    """Add an allocation for every recorded placement: an earlier leader may have started it."""
    for chunk in job.chunks.values():
        for number, placement in chunk.placed.items():
            machine = leader.machines.add_recorded(placement.machine)
            allocation = Allocation(
                TaskId(job.ref, number),
                placement.attempt,
                job.spec,
                machine.id,
                machine.zone,
                placement.agent_epoch,
                recorded=True,
                start_sent=True,
                placed_at=now,
            )
            leader.cluster.add(machine, allocation)
