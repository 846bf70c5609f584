"""Signal handling for a graceful shutdown: no signal is lost before the receiver runs or kills after it."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import trio


@contextmanager
def receive_signals(*numbers: signal.Signals) -> Iterator[AsyncIterator[int]]:
    """Yields the numbers of signals received from here on, for the main thread's trio run.

    After the context has ended, the process ignores these signals, since it is shutting down. trio restores
    the default handlers when its receiver closes, and so does the interpreter when it exits; with them, a
    second stop signal killed the process before its dialog store was closed.
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
