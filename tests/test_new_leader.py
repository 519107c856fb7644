"""How a new leader treats machines that have not sent it a heartbeat yet.

A leader elected during a network partition knows such machines only from the cloud's list. It must
not return running machines as if they had never booted, but must return those that never boot.
"""

from __future__ import annotations

from crosscleat.core.model.cloud import ListedMachine
from crosscleat.core.model.ids import MachineId, Zone

from .term import Term
from .world import CANCEL_S, LEASE_S, TYPES

REPORTING = range(4)
SILENT = range(4, 12)


def listed(state: str) -> list[ListedMachine]:
    return [
        ListedMachine(
            MachineId(f"m-{number}"), f"m-{number}", TYPES[1].name, Zone("a"), True, state, 300.0
        )
        for number in (*REPORTING, *SILENT)
    ]


def wait(term: Term, seconds: float) -> None:
    """Let time pass; only the machines in `REPORTING` send heartbeats, the cloud lists all."""
    for sequence in range(int(2 * seconds)):
        term.step(0.5)
        for number in REPORTING:
            term.receive_heartbeat((1, sequence + 1), machine=f"m-{number}")
        term.leader.tick(term.now)


def returned_without_heartbeat(term: Term) -> set[str]:
    machines = term.leader.cluster.machines.values()
    return {
        machine.id
        for machine in machines
        if machine.decommissioning and not machine.has_sent_heartbeat
    }


def test_running_machines_cut_off_from_a_new_leader_are_not_returned_as_never_booted() -> None:
    # Incident inc-bc11: a leader was elected 4 s into a network partition. 7 s later it returned
    # eleven machines with all their work, as if they had never booted.
    term = Term()
    term.leader.machine_list.receive(listed("running"))
    wait(term, 2.0 * LEASE_S)
    assert returned_without_heartbeat(term) == set()

    wait(term, 2.0 * CANCEL_S)
    assert returned_without_heartbeat(term) == {f"m-{number}" for number in SILENT}, (
        "they are returned after a longer silence"
    )


def test_machines_that_the_cloud_lists_as_starting_for_too_long_are_returned() -> None:
    term = Term()
    term.leader.machine_list.receive(listed("starting"))

    wait(term, 1.5 * LEASE_S)

    assert returned_without_heartbeat(term) == {f"m-{number}" for number in SILENT}
