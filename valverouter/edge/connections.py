"""How every connection's task ends: faults held to it, and one last message to the peer."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import structlog
import trio

from valverouter.signalling.framing import ProtocolError
from valverouter.signalling.greeting import Session

log = structlog.get_logger()


@contextmanager
def isolate_failure(kind: str, peer: Callable[[], str]) -> Iterator[None]:
    """Logs an unexpected fault in one connection's task, which costs that connection alone.

    Without it the fault would end the instance, and every dialog here would lose its answer.
    """
    try:
        yield
    except Exception:
        log.critical("connection-failed", what=kind, peer=peer(), exc_info=True)


async def receive_by(stream: trio.abc.Stream, max_bytes: int, deadline: float) -> bytes:
    """What arrives by `deadline`, in seconds of trio's clock; empty: the peer has closed.

    Raises trio.TooSlowError where nothing has arrived. The deadline bounds the wait alone: with one scope
    around the whole reading, what had come in time while this process was stopped was read, and its
    connection cancelled while it was handled.
    """
    if deadline != float("inf"):
        with trio.move_on_at(deadline):
            return bytes(await stream.receive_some(max_bytes))
        if not getattr(stream, "has_unread_data", False):
            raise trio.TooSlowError
    return bytes(await stream.receive_some(max_bytes))


async def send_farewell(stream: trio.abc.Stream, session: Session, error: ProtocolError) -> None:
    """Sends the one clear error, if the peer still reads; its connection is closed either way.

    A peer that does not read has its writer waiting on the stream already, and trio lets only one wait: such
    a peer gets no message, which it would not read.
    """
    with (
        trio.move_on_after(0.1),
        suppress(trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError),
    ):
        if farewell := session.error_frame(error):
            await stream.send_all(farewell)
