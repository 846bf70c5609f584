"""A dictionary of bounded size, for state whose size depends on what peers send."""

from __future__ import annotations

from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class BoundedDict(dict[Key, Value]):
    """A dictionary that evicts its oldest entry when an insertion exceeds `max_entries`.

    The age of an entry counts from its insertion; assigning to an existing key does not refresh it. Removing
    the entry with `pop` before assigning evicts in order of last use (LRU) instead.
    """

    def __init__(self, max_entries: int) -> None:
        """Creates an empty dictionary for at most `max_entries` entries."""
        super().__init__()
        self._max_entries = max_entries

    def __setitem__(self, key: Key, value: Value) -> None:
        """Inserts or replaces an entry; evicts the oldest one if there are too many."""
        super().__setitem__(key, value)
        if len(self) > self._max_entries:
            del self[next(iter(self))]
