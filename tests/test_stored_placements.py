"""Reading the stored form of placement records, also with fields that later versions add.

Guards against a leader that can't read the records of another version, or that misreads the chunk
length and so assigns tasks to the wrong chunk. Both can happen during an upgrade, when controllers
of different versions lead in turn. A record of any other form must be an error.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from crosscleat.core.model.ids import AgentEpoch, Attempt, JobRef, MachineId
from crosscleat.core.state.stored_placements import (
    DEFAULT_CHUNK_LENGTH,
    StoredAttempt,
    StoredChunk,
    StoredPlacements,
    encode_placements,
)

ROWS: list[list[Any]] = [[3, 1], [4, 2, "m-000007", 5]]

CHUNK = StoredChunk(
    JobRef("job-1"),
    1,
    [(0, 3)],
    [
        StoredAttempt(3, Attempt(1)),
        StoredAttempt(4, Attempt(2), MachineId("m-000007"), AgentEpoch(5)),
    ],
)


def test_a_record_without_a_length_has_chunks_of_the_default_length() -> None:
    stored = StoredPlacements.parse({"jobs": [["job-1", 1, [[0, 3]], ROWS]]})

    assert stored == StoredPlacements([CHUNK], DEFAULT_CHUNK_LENGTH)


def test_fields_and_elements_that_later_versions_add_are_ignored() -> None:
    rows = [ROWS[0], [*ROWS[1], "later"]]
    record = {"jobs": [["job-1", 1, [[0, 3]], rows, "later"]], "span": 100, "later": True}

    assert StoredPlacements.parse(record) == StoredPlacements([CHUNK], 100)


def test_the_default_length_is_not_stored() -> None:
    assert encode_placements([], DEFAULT_CHUNK_LENGTH) == {"jobs": []}
    assert encode_placements([], 100) == {"jobs": [], "span": 100}


@pytest.mark.parametrize("record", [{}, {"jobs": [["job-1", 1]]}, {"jobs": [], "span": None}])
def test_a_record_of_another_form_is_an_error(record: dict[str, Any]) -> None:
    with pytest.raises(msgspec.ValidationError):
        StoredPlacements.parse(record)
