"""What a proxy holds: tables of slices, who has charge, withdrawals, levels. No I/O, no clock.

Tables come from the store (Charge) and from assigners (Order). A line of an order for a slice whose charge has a
newer token is dropped; a newer token than known is taken over. All of an order takes effect together.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from puffintide.decisions.actions import ALL_SLICES
from puffintide.protocol.messages import AdmissionLevel, ProxyUpdate, SliceOwnership, TableEntry
from puffintide.proxy.choice import Picker, make

FORMAT = 1
FEW = 64


class Saved(msgspec.Struct, frozen=True):
    """Tables as a file holds them."""

    format: int
    at: float  # wall clock
    charges: list[SliceOwnership]
    withdrawn: dict[int, list[int]]
    levels: list[tuple[int, list[tuple[int, AdmissionLevel]]]]  # by assigner: (table, level)


@dataclass(slots=True)
class Table:
    assigner: int = -1
    token: int = 0
    batch: int = 0  # of the last order in this tenure
    since: int = -1  # the tenure's first token; -1 not known
    ahead: dict[int, float] | None = None  # ordered under a token whose charge has not come yet
    lines: dict[int, float] = field(default_factory=dict)
    pickers: dict[bool, Picker] = field(default_factory=dict)  # by whether only the own zone serves
    stale: bool = True  # the pickers' weights are to be set anew
    ready: set[bool] = field(default_factory=set)  # pickers that have them


class Tables:
    """zone: of this proxy. busy: own requests out at a server, for "p2c"."""

    def __init__(
        self,
        slices: int,
        retry_default: int,
        pick: str,
        draw: Callable[[], float],
        zone: int = 0,
        busy: Callable[[int], int] = lambda server: 0,
        single_writer: bool = False,
    ) -> None:
        self.single_writer = single_writer  # a table has one line, and a new one takes its place
        self.retry_default, self.how, self.draw, self.zone, self.busy = retry_default, pick, draw, zone, busy
        self.tables = {number: Table() for number in range(slices)}
        self.addresses: dict[int, str] = {}
        self.zones: dict[int, int] = {}
        self.withdrawn: dict[int, set[int]] = {}  # by assigner
        self.levels: dict[tuple[int, int], dict[int, AdmissionLevel]] = {}  # (assigner, table): by class
        self.version = 0  # rises with each change
        self.token_most = 0  # the highest seen
        self._room = FEW  # servers remembered before those in no table are forgotten
        self.dropped = 0  # lines whose token was old

    # What comes in ------------------------------------------------------------------------------

    def charge(self, charge: SliceOwnership) -> None:
        table = self.tables.get(charge.slice_id)
        if table is None or charge.fencing_token < table.token:
            return
        # Written before our last order: the store was away, or the write is on its way. The lines here are newer.
        same = charge.fencing_token == table.token or 0 < charge.tenure_token == table.since
        if same and charge.batch < table.batch:
            goes_on = 0 < charge.tenure_token == table.since
            table.assigner, table.token, table.since = (
                charge.owner_id,
                charge.fencing_token,
                charge.tenure_token,
            )
            self.token_most = max(self.token_most, charge.fencing_token)
            if table.ahead is not None and not goes_on:  # the order went by these lines, not by former ones
                lines = {h.server_id: h.weight for h in charge.entries} | table.ahead
                table.lines = {s: w for s, w in lines.items() if w > 0}
                table.stale = True
                self.version += 1
                for held in charge.entries:
                    self._place(held.server_id, held.address, held.zone)
            table.ahead = None
            return
        self.token_most = max(self.token_most, charge.fencing_token)
        if charge.fencing_token != table.token:
            self.levels.pop((table.assigner, charge.slice_id), None)
        table.assigner, table.token, table.batch = charge.owner_id, charge.fencing_token, charge.batch
        table.since, table.ahead = charge.tenure_token, None
        table.lines = {h.server_id: h.weight for h in charge.entries if h.weight > 0}
        table.stale = True
        for held in charge.entries:
            self._place(held.server_id, held.address, held.zone)
        self.version += 1
        self._forget()

    def _forget(self) -> None:
        """Each machine has an id of its own: those that left the tables must not stay for ever."""
        if len(self.addresses) > self._room or len(self.zones) > self._room:
            used = {s for table in self.tables.values() for s in table.lines}
            self.addresses = {s: a for s, a in self.addresses.items() if s in used}
            self.zones = {s: z for s, z in self.zones.items() if s in used}
            self._room = 2 * len(used) + FEW

    def _place(self, server: int, address: str, zone: int) -> None:
        if address:
            self.addresses[server] = address
        if zone >= 0:
            self.zones[server] = zone

    def joined(self, assigner: int) -> None:
        """A stream to it stands anew: it takes us for one that knows no withdrawals and tells what still holds.
        Guards against what it let in again, or forgot by a restart, while our stream was down."""
        self.withdrawn.pop(assigner, None)
        self.levels = {key: by_class for key, by_class in self.levels.items() if key[0] != assigner}
        for table in self.tables.values():
            table.stale = table.stale or table.assigner == assigner
        self.version += 1

    def order(self, assigner: int, order: ProxyUpdate) -> None:
        for number in order.cleared_slices:
            table = self.tables.get(number)
            if table is not None and table.assigner == assigner:
                table.lines.clear()
                table.stale = True
                table.batch = order.batch
                self.levels.pop((assigner, number), None)
        for line in order.weights:
            table = self.tables.get(line.slice_id)
            if table is None or line.fencing_token < table.token:
                self.dropped += 1
                continue
            self.token_most = max(self.token_most, line.fencing_token)
            if line.fencing_token > table.token:
                table.since = table.since if table.assigner == assigner else -1
                table.assigner, table.token, table.ahead = assigner, line.fencing_token, {}
            table.batch = order.batch
            self._place(line.server_id, line.address, line.zone)
            if table.ahead is not None:
                table.ahead[line.server_id] = line.weight
            if self.single_writer and line.weight > 0:
                table.lines.clear()
                table.ahead = None  # one line is all of the table
            if line.weight > 0:
                table.lines[line.server_id] = line.weight
            else:
                table.lines.pop(line.server_id, None)
            table.stale = True
        if order.withdrawn_servers or order.readmitted_servers:
            out = self.withdrawn.setdefault(assigner, set())
            out.update(order.withdrawn_servers)
            out.difference_update(order.readmitted_servers)
            for table in self.tables.values():
                table.stale = table.stale or table.assigner == assigner
        for level in order.admission_levels:
            classes = [k for k in range(16) if not level.class_mask or level.class_mask >> k & 1]
            self.levels.setdefault((assigner, level.slice_id), {}).update(dict.fromkeys(classes, level))
        self.version += 1
        self._forget()

    # What it gives ------------------------------------------------------------------------------

    def open(self, number: int) -> dict[int, float]:
        """The lines that may be picked: a withdrawn server's part goes to the others."""
        table = self.tables[number]
        out = self.withdrawn.get(table.assigner, set())
        return {s: w for s, w in table.lines.items() if s not in out}

    def pick(
        self, number: int, avoid: frozenset[int] = frozenset(), own_zone: bool = False, only_zone: int = -1
    ) -> int | None:
        """A server for the slice. only_zone: of a further try that must stay where the first was."""
        picker = self._picker(self.tables[number], own_zone, number)
        if only_zone < 0:
            return picker.pick(avoid)
        other = frozenset(s for s in self.tables[number].lines if self.zones.get(s) != only_zone)
        found = picker.pick(avoid | other)
        if found in other:  # all of the zone are to be avoided: one of them all the same
            found = picker.pick(other)
        return None if found in other else found

    def _picker(self, table: Table, own_zone: bool, number: int) -> Picker:
        """Made when first asked for, its weights set anew after each change."""
        if table.stale:
            table.ready.clear()
            table.stale = False
        picker = table.pickers.get(own_zone)
        if picker is None:
            picker = table.pickers[own_zone] = make(self.how, self.draw, self.busy)
        if own_zone not in table.ready:
            table.ready.add(own_zone)
            lines = self.open(number)
            picker.set({s: w for s, w in lines.items() if not own_zone or self.zones.get(s) == self.zone})
        return picker

    def level(self, number: int, request_class: int) -> float:
        """The lower of the slice's own level and the one for all; 1 where none is set."""
        if not self.levels:
            return 1.0
        found = (self._own(number, request_class), self._every(number, request_class))
        return min((x.fraction for x in found if x is not None), default=1.0)

    def limited(self, number: int, request_class: int) -> bool:
        return bool(self.levels) and bool(
            self._own(number, request_class) or self._every(number, request_class)
        )

    def retry(self, number: int, request_class: int) -> int:
        """The way of trying again: the slice's own, else the one for all, else the deployment's."""
        if not self.levels:
            return self.retry_default
        found = self._own(number, request_class) or self._every(number, request_class)
        return self.retry_default if found is None else found.retry_mode

    def _own(self, number: int, request_class: int) -> AdmissionLevel | None:
        return self.levels.get((self.tables[number].assigner, number), {}).get(request_class)

    def _every(self, number: int, request_class: int) -> AdmissionLevel | None:
        return self.levels.get((self.tables[number].assigner, ALL_SLICES), {}).get(request_class)

    # Kept over a restart ------------------------------------------------------------------------

    def saved(self, wall: float) -> Saved:
        charges = []
        for number, table in sorted(self.tables.items()):
            held = [
                TableEntry(s, w, self.addresses.get(s, ""), self.zones.get(s, -1))
                for s, w in sorted(table.lines.items())
            ]
            charges.append(SliceOwnership(number, table.token, table.assigner, held, table.batch))
        levels: dict[int, list[tuple[int, AdmissionLevel]]] = {}
        for (assigner, number), by_class in sorted(self.levels.items()):
            for k, level in sorted(by_class.items()):
                one = AdmissionLevel(level.slice_id, 1 << k, level.fraction, level.retry_mode)
                levels.setdefault(assigner, []).append((number, one))
        withdrawn = {a: sorted(out) for a, out in sorted(self.withdrawn.items()) if out}
        return Saved(FORMAT, wall, charges, withdrawn, sorted(levels.items()))

    def load(self, saved: Saved) -> None:
        for charge in saved.charges:
            self.charge(charge)
        for assigner, out in saved.withdrawn.items():
            self.withdrawn[assigner] = set(out)
        for assigner, rows in saved.levels:
            for _, level in rows:
                self.order(assigner, ProxyUpdate(0, 0.0, 0.0, admission_levels=[level]))
