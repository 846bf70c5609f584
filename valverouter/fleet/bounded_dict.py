"""A dictionary of bounded size, for state that peers can make grow."""

from __future__ import annotations

from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class BoundedDict(dict[Key, Value]):
    """Evicts its oldest entry when an insertion exceeds `max_entries`.

    The age of an entry counts from its insertion; assigning to an existing key does not renew it. `pop` it
    first for eviction in order of last use.
    """

    def __init__(self, max_entries: int) -> None:
        """Create an empty dictionary for at most `max_entries` entries."""
        super().__init__()
        self._max_entries = max_entries

    def __setitem__(self, key: Key, value: Value) -> None:
        """Insert or replace an entry, evicting the oldest one if there are too many."""
        super().__setitem__(key, value)
        if len(self) > self._max_entries:
            del self[next(iter(self))]
