"""A queue that serves its sources in turn, so that a source with many entries does not delay the others."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import Generic, TypeVar

Entry = TypeVar("Entry")
Source = TypeVar("Source", bound=Hashable)


class FairQueue(Generic[Source, Entry]):
    """Entries by source: each source in turn gives its oldest entry.

    An entry that is alone in its source waits for at most one entry of every other source. A source takes
    memory only while it has entries.
    """

    def __init__(self) -> None:
        # In the order in which they are served next.
        self._by_source: OrderedDict[Source, deque[Entry]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        """The number of entries of all sources."""
        return self._length

    def count(self, source: Source) -> int:
        """Returns the number of entries of a source."""
        entries = self._by_source.get(source)
        return len(entries) if entries is not None else 0

    def put(self, source: Source, entry: Entry) -> None:
        """Adds an entry behind the source's earlier ones; a source without entries is served last."""
        entries = self._by_source.get(source)
        if entries is None:
            entries = self._by_source[source] = deque()
        entries.append(entry)
        self._length += 1

    def pop(self) -> tuple[Source, Entry]:
        """Removes and returns the oldest entry of the next source; raises KeyError if there is none."""
        source, entries = self._by_source.popitem(last=False)
        entry = entries.popleft()
        if entries:
            self._by_source[source] = entries
        self._length -= 1
        return source, entry
