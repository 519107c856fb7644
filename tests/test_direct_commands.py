"""Direct commands to a machine that has not answered any for hours."""

from __future__ import annotations

from crosscleat.core.control.commands import MAX_DIRECT_PAUSE_S
from crosscleat.core.model.ids import JobRef, MachineId
from crosscleat.core.model.worker_calls import DirectReply

from .gangs import gang_term, send_direct_start
from .term import TOKEN


def test_a_start_that_is_lost_after_many_commands_may_still_be_executed() -> None:
    """From 1,024 commands on, after 13 hours, the power of two overflowed.

    The exception dropped the note that the lost start may still arrive: the task could run twice.
    """
    term = gang_term()
    gang = term.leader.jobs[JobRef("job-g")]
    machine = term.leader.cluster.machines[MachineId("m-0")]
    machine.direct.failures = 1023
    start = send_direct_start(term, gang, machine)

    start.continuation(DirectReply(None, may_execute=True))

    assert machine.direct.pending_start_token == TOKEN
    assert machine.direct.paused_until == term.now + MAX_DIRECT_PAUSE_S
