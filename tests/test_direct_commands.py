"""Direct commands to a machine that has not answered any for hours."""

from __future__ import annotations

from crosscleat.core.control.commands import MAX_DIRECT_PAUSE_S
from crosscleat.core.model.ids import JobRef, MachineId
from crosscleat.core.model.worker_calls import DirectCommand, DirectReply

from .gangs import gang_term, record_all
from .term import TOKEN


def test_a_start_that_is_lost_after_many_commands_may_still_be_executed() -> None:
    """From 1,024 commands on, after 13 hours, the power of two overflowed.

    The exception dropped the note that the lost start may still arrive: the task could run twice.
    """
    term = gang_term()
    gang = term.leader.jobs[JobRef("job-g")]
    machine = term.leader.cluster.machines[MachineId("m-0")]
    machine.direct.failures = 1023
    term.leader.placer.place_gang(gang, [machine, machine])
    record_all(gang, machine)
    term.outbox.take()
    term.leader.pending.send_soon(machine.id)
    term.leader.commands.send_direct(term.now)
    (start,) = [effect for effect in term.outbox.take() if isinstance(effect, DirectCommand)]

    start.continuation(DirectReply(None, may_execute=True))

    assert machine.direct.pending_start_token == TOKEN
    assert machine.direct.paused_until == term.now + MAX_DIRECT_PAUSE_S
