"""News on its way: each word is passed on so many times by everyone who has it, freshest first."""

from __future__ import annotations

from valverouter.membership.records import Record


class News:
    """Words that are still passed on, one a name; a later word takes the place of the former. Emptied by
    passing on."""

    def __init__(self, room: int) -> None:
        self._room = room
        # Name: the word, how often it has left here, its size.
        self._items: dict[str, tuple[Record, int, int]] = {}

    def __len__(self) -> int:
        return len(self._items)

    def put(self, record: Record) -> None:
        # At the end: the order of the table is then freshest last, and what was sent goes to its front.
        self._items.pop(record.name, None)
        self._items[record.name] = record, 0, record.size

    def take(self, sends: int, first: Record | None = None) -> tuple[Record, ...]:
        """What goes into one message, counted as passed on; `first` goes in any case."""
        if not self._items:
            return (first,) if first is not None else ()
        out = [first] if first is not None else []
        room = self._room - (first.size if first is not None else 0)
        items = self._items
        chosen = sorted(items.values(), key=_left) if len(items) > 1 else list(items.values())
        for record, left, size in chosen:
            if size > room:
                break
            room -= size
            if record is not first:
                out.append(record)
            if left + 1 >= sends:
                del items[record.name]
            else:
                items[record.name] = record, left + 1, size
        return tuple(out)

    def is_fresh(self, eager: int) -> bool:
        """Whether there is a word that should not wait for the next probe to carry it."""
        return any(left < eager for _, left, _ in self._items.values())


def _left(item: tuple[Record, int, int]) -> int:
    return item[1]
