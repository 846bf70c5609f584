"""The queue of updates to disseminate, each of which is transmitted a limited number of times."""

from __future__ import annotations

from typing import NamedTuple

from valverouter.membership.records import MemberRecord


class QueuedUpdate(NamedTuple):
    """An update, the number of its transmissions by this member, and its size in bytes."""

    record: MemberRecord
    transmits: int
    size: int


class BroadcastQueue:
    """The updates to transmit, one for each member name: a later update replaces an earlier one.

    `max_bytes` bounds the records of one message. An update is removed after its last transmission.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        # In insertion order, which the stable sort by transmissions keeps among equals.
        self._updates: dict[str, QueuedUpdate] = {}

    def __len__(self) -> int:
        """Returns the number of queued updates."""
        return len(self._updates)

    def enqueue(self, record: MemberRecord) -> None:
        """Queues an update behind the others that have not been transmitted yet."""
        self._updates.pop(record.name, None)
        self._updates[record.name] = QueuedUpdate(record, 0, record.size)

    def take_batch(self, transmit_limit: int, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        """Returns records for one message, the least transmitted first, and counts their transmission.

        `first`, if given, is always included as the first record, whether it is queued or not.
        """
        if not self._updates:
            return (first,) if first is not None else ()
        taken = [first] if first is not None else []
        free_bytes = self._max_bytes - (first.size if first is not None else 0)
        for update in self._least_transmitted_first():
            if update.size > free_bytes:
                break
            free_bytes -= update.size
            if update.record is not first:
                taken.append(update.record)
            self._count_transmit(update, transmit_limit)
        return tuple(taken)

    def _least_transmitted_first(self) -> list[QueuedUpdate]:
        updates = list(self._updates.values())
        if len(updates) > 1:
            updates.sort(key=_transmits)
        return updates

    def _count_transmit(self, update: QueuedUpdate, transmit_limit: int) -> None:
        name, transmits = update.record.name, update.transmits + 1
        if transmits >= transmit_limit:
            del self._updates[name]
        else:
            self._updates[name] = QueuedUpdate(update.record, transmits, update.size)

    def has_eager_updates(self, eager_transmits: int) -> bool:
        """Returns whether some update was transmitted fewer than `eager_transmits` times."""
        return any(update.transmits < eager_transmits for update in self._updates.values())


def _transmits(update: QueuedUpdate) -> int:
    return update.transmits
