"""The signals of a process that ends by itself: none is lost before the receiver, none kills behind it."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import trio


@contextmanager
def receive_signals(*numbers: signal.Signals) -> Iterator[AsyncIterator[int]]:
    """The signals that come from here on, by their numbers, for the main thread's trio run.

    Once closed, the process ignores them: it is ending, and with the default handlers, which trio gives back
    and the interpreter's own end sets again, a second signal to stop killed it, its store not closed.
    """
    early: list[int] = []
    for number in numbers:
        signal.signal(number, lambda number, frame: early.append(number))
    try:
        with trio.open_signal_receiver(*numbers) as signals:
            yield _chain(early, signals)
    finally:
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)


async def _chain(early: list[int], signals: AsyncIterator[int]) -> AsyncIterator[int]:
    for number in early:
        yield number
    async for number in signals:
        yield number
