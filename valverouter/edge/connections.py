"""Helpers for connection tasks: failure isolation, reads with a deadline, the final Error message."""

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
    """Logs an unexpected exception in a connection's task, so that only that connection is lost.

    Otherwise the exception would end the instance, and no open dialog would be answered.
    """
    try:
        yield
    except Exception:
        log.critical("connection-failed", what=kind, peer=peer(), exc_info=True)


async def receive_by(stream: trio.abc.Stream, max_bytes: int, deadline: float) -> bytes:
    """Returns the bytes received by `deadline`, in seconds of trio's clock; empty if the peer has closed.

    Raises trio.TooSlowError if none were received. The deadline applies to the wait only: with one cancel
    scope around reading and handling, data that had arrived in time while this process was stopped was read,
    but its connection was cancelled while the data was handled.
    """
    if deadline != float("inf"):
        with trio.move_on_at(deadline):
            return bytes(await stream.receive_some(max_bytes))
        if not getattr(stream, "has_unread_data", False):
            raise trio.TooSlowError
    return bytes(await stream.receive_some(max_bytes))


async def send_error(stream: trio.abc.Stream, session: Session, error: ProtocolError) -> None:
    """Sends an Error message if the peer still reads; the caller then closes the connection in any case.

    If the peer does not read, the connection's writer is already blocked in a send, and trio allows only one
    task to send. Such a peer gets no message, which it would not read anyway.
    """
    with (
        trio.move_on_after(0.1),
        suppress(trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError),
    ):
        if frame := session.error_frame(error):
            await stream.send_all(frame)
