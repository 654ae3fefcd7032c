"""Encodes the director's actions as orders to the relay. Performs no I/O.

This is the only module that writes the platform's field names and operation names of orders.
"""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum, auto
from typing import NamedTuple

from puffintide.decisions.actions import (
    ALL_SLICES,
    Action,
    SendCheckpoint,
    SetAdmission,
    SetWeight,
    SetWithdrawn,
)
from puffintide.platform.errors import UnknownServerError
from puffintide.platform.identifiers import HostRegistry, SettingsNames

NO_SLICE = -1
WEIGHT_DECIMALS = 6
FRACTION_DECIMALS = 4


class OrderType(Enum):
    """The kind of state that an order sets."""

    WEIGHT = auto()
    WITHDRAWAL = auto()
    ADMISSION = auto()
    CHECKPOINT = auto()


class SendPriority(IntEnum):
    """Sending priority of orders when a batch exceeds one call. The lowest value is sent first.

    Sent in this sequence, each part of a split batch is safe without the others: weights are added before
    any are removed.
    """

    WITHDRAWAL = 0
    ADDED_WEIGHT = 1
    REMOVED_WEIGHT = 2
    READMISSION = 3
    ADMISSION = 4
    CHECKPOINT = 5


class OrderKey(NamedTuple):
    """Identifies the state that an order sets. A newer order with the same key replaces an older one."""

    order_type: OrderType
    slice_id: int = NO_SLICE
    item_id: int = 0  # Server id (weight, withdrawal), class mask (admission) or checkpoint id (checkpoint).


class OrderedWeight(NamedTuple):
    """A weight entry that an order sets."""

    slice_id: int
    host: str
    weight: float


@dataclass(frozen=True, slots=True)
class Order:
    """An encoded order with its key and sending priority."""

    key: OrderKey
    text: bytes
    priority: SendPriority
    weight: OrderedWeight | None = None  # Set for orders of type WEIGHT.

    @property
    def is_weight(self) -> bool:
        """Whether the order sets a weight entry."""
        return self.key.order_type is OrderType.WEIGHT


def servers_with_weights(slice_id: int, orders: Iterable[Order]) -> set[int]:
    """Return the ids of the servers whose weights in a slice are among the orders."""
    return {order.key.item_id for order in orders if order.is_weight and order.key.slice_id == slice_id}


class OrderEncoder:
    """Encodes actions as orders and omits those that concern only this process."""

    def __init__(self, names: SettingsNames, hosts: HostRegistry) -> None:
        self._names = names
        self._hosts = hosts

    def encode(
        self, actions: Iterable[Action], owned_slices: Collection[int]
    ) -> tuple[list[Order], list[str]]:
        """Encode a batch of actions.

        Args:
            actions: The actions, in the sequence in which they were decided.
            owned_slices: Ids of the slices that this assigner owns. Weights of other slices are omitted.

        Returns:
            The encoded orders, and an error message for each action that cannot be encoded.
        """
        orders: list[Order] = []
        errors: list[str] = []
        for action in actions:
            try:
                order = self._encode(action, owned_slices)
            except UnknownServerError as error:
                errors.append(str(error))
                continue
            if order is not None:
                orders.append(order)
        return orders, errors

    def _encode(self, action: Action, owned_slices: Collection[int]) -> Order | None:
        match action:
            case SetWeight():
                order = self._weight(action)
                return order if action.slice_id in owned_slices else None
            case SetWithdrawn():
                return self._withdrawal(action)
            case SetAdmission():
                return self._admission(action)
            case SendCheckpoint(checkpoint_id):
                text = _json(do="SYNC", stamp=checkpoint_id, yes=0)
                return Order(
                    OrderKey(OrderType.CHECKPOINT, item_id=checkpoint_id), text, SendPriority.CHECKPOINT
                )
        return None

    def _weight(self, action: SetWeight) -> Order:
        slice_id = action.slice_id
        host = self._host(action.server_id, f"weight order for slice {slice_id}")
        text = _json(do="SET", group=slice_id, host=host, share=round(action.weight, WEIGHT_DECIMALS))
        priority = SendPriority.ADDED_WEIGHT if action.weight > 0 else SendPriority.REMOVED_WEIGHT
        key = OrderKey(OrderType.WEIGHT, slice_id, action.server_id)
        return Order(key, text, priority, OrderedWeight(slice_id, host, action.weight))

    def _withdrawal(self, action: SetWithdrawn) -> Order:
        host = self._host(action.server_id, "withdrawal order")
        text = _json(do="OUT" if action.withdrawn else "IN", host=host)
        priority = SendPriority.WITHDRAWAL if action.withdrawn else SendPriority.READMISSION
        return Order(OrderKey(OrderType.WITHDRAWAL, item_id=action.server_id), text, priority)

    def _admission(self, action: SetAdmission) -> Order:
        fields: dict[str, object] = {"do": "LIMIT"}
        if action.slice_id != ALL_SLICES:
            fields["group"] = action.slice_id
        if action.class_mask:
            fields["for"] = self._names.classes_in(action.class_mask)
        fields["gate"] = round(action.fraction, FRACTION_DECIMALS)
        fields["again"] = action.retry_mode
        key = OrderKey(OrderType.ADMISSION, action.slice_id, action.class_mask)
        return Order(key, _json(**fields), SendPriority.ADMISSION)

    def _host(self, server_id: int, purpose: str) -> str:
        host = self._hosts.host(server_id)
        if host is None:
            raise UnknownServerError(
                f"cannot encode {purpose}: server {server_id} has no registered host name"
            )
        return host


def _json(**fields: object) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()
