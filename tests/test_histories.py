"""Tests that store histories under kills, pauses and slow disks are linearizable, with negative controls."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import pytest

from puffintide.audit.linearizability import Operation, OperationType, is_linearizable
from puffintide.protocol import messages as m
from puffintide.store.ownership import OwnershipLedger
from tests.store_histories import NEVER, Simulation, failing_seeds


def op(kind: OperationType, token: int, value: int, sent_s: float, answered_s: float) -> Operation:
    return Operation(kind, token, value, sent_s, answered_s)


@pytest.mark.parametrize(
    ("history", "expected"),
    [
        (
            [
                op(OperationType.GRANT, 1, 0, 0, 1),
                op(OperationType.WRITE, 1, 5, 2, 3),
                op(OperationType.READ, 1, 5, 4, 5),
            ],
            True,
        ),
        (
            [
                op(OperationType.GRANT, 1, 0, 0, 1),
                op(OperationType.WRITE, 1, 5, 2, 3),
                op(OperationType.READ, 1, 0, 4, 5),
            ],
            False,
        ),  # An acknowledged write is lost.
        (
            [
                op(OperationType.GRANT, 1, 0, 0, 1),
                op(OperationType.WRITE, 1, 5, 2, NEVER),
                op(OperationType.READ, 1, 0, 4, 5),
                op(OperationType.READ, 1, 5, 6, 7),
            ],
            True,
        ),
        (
            [
                op(OperationType.GRANT, 1, 0, 0, 1),
                op(OperationType.WRITE, 1, 5, 2, NEVER),
                op(OperationType.READ, 1, 5, 4, 5),
                op(OperationType.READ, 1, 0, 6, 7),
            ],
            False,
        ),
        # A previous owner's write succeeds after the next owner has been notified.
        (
            [
                op(OperationType.GRANT, 1, 0, 0, 1),
                op(OperationType.GRANT, 2, 0, 2, 3),
                op(OperationType.WRITE, 1, 5, 4, 5),
            ],
            False,
        ),
        (
            [
                op(OperationType.GRANT, 1, 0, 0, 1),
                op(OperationType.GRANT, 2, 0, 2, 6),
                op(OperationType.WRITE, 1, 5, 4, 5),
            ],
            True,
        ),
        (
            [op(OperationType.GRANT, 2, 0, 0, 1), op(OperationType.GRANT, 1, 0, 2, 3)],
            False,
        ),  # A token is issued again.
        (
            [
                op(OperationType.GRANT, 1, 0, 0, 1),
                op(OperationType.WRITE, 1, 5, 2, 9),
                op(OperationType.WRITE, 1, 6, 2, 9),
                op(OperationType.READ, 1, 5, 10, 11),
            ],
            True,
        ),
        (
            [
                op(OperationType.GRANT, 1, 0, 0, 1),
                op(OperationType.WRITE, 1, 5, 2, 3),
                op(OperationType.WRITE, 1, 6, 4, 5),
                op(OperationType.READ, 1, 5, 6, 7),
            ],
            False,
        ),
    ],
)
def test_checker_recognizes_linearizable_histories(history: list[Operation], expected: bool) -> None:
    assert is_linearizable(history) is expected


def test_histories_of_the_store_are_linearizable() -> None:
    failing, operation_count = failing_seeds(0, 60)
    assert failing == []
    assert operation_count > 2000


def reissue_tokens(simulation: Simulation) -> None:
    """Simulate a store that issues its fencing tokens again from 1."""
    if simulation.service.ledger.highest_token > 12:
        simulation.service.ledger.highest_token = 0


def acknowledge_before_commit(simulation: Simulation) -> None:
    """Simulate a store that acknowledges writes before they are durable."""
    for stream, batch in list(simulation.service.commits.pending.waiting.writers.items()):
        stream.send(m.WriteAcknowledged(batch, 0))


def ignore_fencing_tokens(simulation: Simulation) -> None:
    """Simulate a store that accepts every fencing token as the current one."""
    ledger = simulation.service.ledger

    def unfenced_write(_writer_id: int, weights: Sequence[m.WeightEntry], batch: int = 0) -> dict[int, str]:
        rejections: dict[int, str] = {}
        for weight in weights:
            record = ledger.slices[weight.slice_id]
            current = m.WeightEntry(weight.slice_id, weight.server_id, weight.weight, record.fencing_token)
            rejections |= OwnershipLedger.write(ledger, record.owner_id, [current], batch)
        return rejections

    ledger.write = unfenced_write  # type: ignore[method-assign, assignment]


@pytest.mark.parametrize("fault", [reissue_tokens, ignore_fencing_tokens, acknowledge_before_commit])
def test_check_detects_a_faulty_store(fault: Callable[[Simulation], None]) -> None:
    failing, _ = failing_seeds(0, 25, fault)
    assert failing
