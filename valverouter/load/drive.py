"""Drives one edge proxy open-loop, and brings one up with its stand-ins as processes of their own."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from valverouter.days.loopback import START_WITHIN_S, ProcessEdge
from valverouter.load.measure import Sample
from valverouter.signalling import setup
from valverouter.signalling.greeting import NEWEST, OLDEST, Hello, Welcome
from valverouter.terms.day import Day

SECOND = 1_000_000_000
READ = 256 * 1024
# Set-ups due within one look leave in one write.
LOOK_S = 0.001


class LoadFailedError(RuntimeError):
    """The target could not be brought up, or went away in the middle."""


def mixed(day: Day, serial: int) -> tuple[str, int]:
    """The type and no-answer time of dialog number `serial`: types in turn by their shares."""
    total = sum(mix.share for mix in day.mix.values())
    at = (serial * 0.618033988749895) % 1 * total
    for kind, mix in day.mix.items():
        at -= mix.share
        if at < 0:
            return kind, mix.no_answer
    kind = next(reversed(day.mix))
    return kind, day.mix[kind].no_answer


async def drive(address: str, day: Day, rate: float, seconds: float, name: str = "load") -> Sample:
    """Dialogs at a steady rate, whatever comes back; ends when all are answered or past their time.

    Each that stands is released at once. LoadFailedError when the connection breaks.
    """
    host, _, port = address.rpartition(":")
    sample, due = Sample(rate), dict[str, int]()
    stream = await trio.open_tcp_stream(host, int(port))
    session = setup.SetupSession(Hello((OLDEST, NEWEST), "caller", name), open_most=10**6)
    greeted, over = trio.Event(), trio.Event()
    out: list[bytes] = []

    def now() -> int:
        return round(trio.current_time() * SECOND)

    async def dials() -> None:
        await greeted.wait()
        began, gap, count = now(), SECOND / rate, int(rate * seconds)
        while sample.offered < count:
            while sample.offered < count and began + sample.offered * gap <= now():
                at = began + int(sample.offered * gap)
                dialog = f"{name}-{sample.offered}"
                kind, no_answer = mixed(day, sample.offered)
                due[dialog] = at
                sample.late_dial(now() - at)
                asked = setup.Setup(
                    dialog=dialog,
                    traffic_type=kind,
                    no_answer=no_answer,
                    first_choice=sample.offered % day.server_count,
                    called_number=100 + sample.offered,
                )
                sample.offered += 1
                out.append(session.send(asked))
            await send()
            await trio.sleep(LOOK_S)
        longest = max(mix.no_answer for mix in day.mix.values()) / SECOND
        with trio.move_on_after(longest + 0.1):
            while due:
                await trio.sleep(0.01)
        sample.unanswered = len(due)
        over.set()

    async def send() -> None:
        if out:
            data = b"".join(out)
            out.clear()
            async with lock:
                try:
                    await stream.send_all(data)
                except trio.BrokenResourceError as error:
                    raise LoadFailedError(f"{address} broke the connection in the middle") from error

    async def hears() -> None:
        while data := await _received(stream, address):
            heard = now()
            for message in session.receive(data):
                if isinstance(message, Welcome):
                    greeted.set()
                elif isinstance(message, setup.Stands):
                    if (at := due.pop(message.dialog, None)) is not None:
                        sample.stands(at, heard)
                    out.append(session.send(setup.Release(message.dialog)))
                elif isinstance(message, setup.Declined):
                    sample.declined += due.pop(message.dialog, None) is not None
                elif isinstance(message, setup.Aborted):
                    sample.aborted += due.pop(message.dialog, None) is not None
            await send()
        if not over.is_set():
            raise LoadFailedError(f"{address} closed the connection in the middle")

    lock = trio.Lock()
    async with stream, trio.open_nursery() as nursery:
        await stream.send_all(session.opening())
        nursery.start_soon(hears)
        nursery.start_soon(dials)
        with trio.move_on_after(START_WITHIN_S):
            await greeted.wait()
        if not greeted.is_set():
            raise LoadFailedError(f"{address} did not greet")
        await over.wait()
        nursery.cancel_scope.cancel()
    return sample


async def _received(stream: trio.SocketStream, address: str) -> bytes:
    try:
        return bytes(await stream.receive_some(READ))
    except trio.BrokenResourceError as error:
        raise LoadFailedError(f"{address} broke the connection in the middle") from error


@asynccontextmanager
async def target(file: Path, day: Day, folder: Path, seconds: float) -> AsyncIterator[str]:
    """An edge proxy of the day's with its stand-ins, each a process; gives the edge proxy's address.

    The stand-ins end by themselves after so many seconds, whatever becomes of this process.
    """
    command = [sys.executable, "-m", "valverouter.cli", "standin", str(file), "--seconds", str(seconds)]
    standins = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    try:
        assert standins.stdout is not None
        told = b""
        with trio.move_on_after(START_WITHIN_S):
            while b"\n" not in told.partition(b"list service at ")[2]:
                data = await standins.stdout.receive_some(4_096)
                if not data:
                    break
                told += data
        list_at = told.partition(b"list service at ")[2].split(b"\n")[0].decode().strip()
        if not list_at:
            raise LoadFailedError(f"the stand-ins of {file} did not come up")
        async with trio.open_nursery() as nursery:
            edge = ProcessEdge(day, 0, list_at, folder, nursery)
            await edge.start()
            await trio.sleep(day.terms.settle / SECOND)
            yield edge.address
            await edge.stop()
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            if standins.poll() is None:
                standins.terminate()
            await standins.wait()
