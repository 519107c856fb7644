"""How a new leader treats machines that have not sent it a heartbeat yet."""

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
    """Some machines send heartbeats and the others do not; the cloud lists them all."""
    for sequence in range(int(2 * seconds)):
        term.step(0.5)
        for number in REPORTING:
            term.receive_heartbeat((1, sequence + 1), machine=f"m-{number}")
        term.leader.tick(term.now)


def returned(term: Term) -> set[str]:
    machines = term.leader.cluster.machines.values()
    return {
        machine.id
        for machine in machines
        if machine.decommissioning and not machine.has_sent_heartbeat
    }


def test_running_machines_that_are_cut_off_from_a_new_leader_are_not_returned_as_never_up() -> None:
    # Incident inc-bc11: a leader was elected 4 s into a cut and returned eleven machines with
    # all their work 7 s later, as if they had never booted.
    term = Term()
    term.leader.machine_list.receive(listed("running"))
    wait(term, 2.0 * LEASE_S)
    assert returned(term) == set()

    wait(term, 2.0 * CANCEL_S)
    assert returned(term) == {f"m-{number}" for number in SILENT}, "not for ever"


def test_machines_that_the_cloud_lists_as_starting_for_too_long_are_returned() -> None:
    term = Term()
    term.leader.machine_list.receive(listed("starting"))

    wait(term, 1.5 * LEASE_S)

    assert returned(term) == {f"m-{number}" for number in SILENT}
