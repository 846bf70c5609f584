"""The send queue: the peer gets the accepted frames, whole and in order, whatever parts the stream takes."""

from __future__ import annotations

from itertools import cycle

import trio
from hypothesis import given
from hypothesis import strategies as st
from trio.testing import wait_all_tasks_blocked

from valverouter.edge.send_queue import SendBatch, SendQueue

MAX_BYTES = 4_096


class PartialStream(trio.abc.SendStream):
    """A stream that takes a drawn part of what it is offered; `received` is what the peer gets.

    `sizes`: the most bytes that it takes at each offer, in turn; 0 means that it has no space.
    """

    def __init__(self, sizes: list[int]) -> None:
        self.received = b""
        self._sizes = cycle(sizes)

    def send_now(self, data: bytes) -> int:
        taken = min(len(data), next(self._sizes))
        self.received += data[:taken]
        return taken

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        rest = bytes(data)
        while rest:
            await trio.lowlevel.checkpoint()
            rest = rest[self.send_now(rest) :]

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()


def frame(number: int, size: int) -> bytes:
    return b"<%d:" % number + b"x" * size + b">"


Turn = tuple[list[int], int | None, int]


class Model:
    """A plain list of frames beside the real queue; a frame is sent in order unless it was withdrawn."""

    def __init__(self, sizes: list[int]) -> None:
        self.batch = SendBatch()
        self.queue = SendQueue(MAX_BYTES, self.batch)
        self.stream = PartialStream(sizes)
        self.frames: dict[int, bytes] = {}
        self.sent: list[int] = []

    def put(self, number: int, size: int) -> None:
        self.frames[number] = frame(number, size)
        self.queue.put(self.frames[number], key=number, on_sent=lambda: self.sent.append(number))

    def withdraw(self, number: int) -> None:
        if self.queue.withdraw(number):
            del self.frames[number]

    async def play(self, turns: list[Turn]) -> None:
        """Plays turns: the sizes of the frames put, a frame to withdraw, and pauses after the turn."""
        numbers = iter(range(1, 10_000))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.queue.run, self.stream)
            await wait_all_tasks_blocked()  # the writer waits for frames
            for sizes, withdrawn, pauses in turns:
                self.batch.begin()
                for size in sizes:
                    self.put(next(numbers), size)
                if withdrawn is not None:
                    self.withdraw(withdrawn)
                self.batch.end()
                for _ in range(pauses):
                    await trio.lowlevel.checkpoint()
            for _ in range(4 * MAX_BYTES):
                if self.queue.is_empty:
                    break
                await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()


TURNS = st.lists(
    st.tuples(st.lists(st.integers(0, 20), max_size=4), st.none() | st.integers(1, 20), st.integers(0, 3)),
    max_size=12,
)
# At least one positive size, or the stream would never take anything.
SIZES = st.lists(st.integers(0, 30), max_size=5).map(lambda sizes: [*sizes, 7])


@given(TURNS, SIZES)
def test_the_peer_gets_each_accepted_frame_once_whole_and_in_order(
    turns: list[Turn], sizes: list[int]
) -> None:
    # Guards against a second turn that sent its frames before the rest of the first turn's, which was lost
    # (review/6).
    model = Model(sizes)
    trio.run(model.play, turns)
    assert model.stream.received == b"".join(model.frames.values())
    assert model.sent == list(model.frames)
    assert model.queue.is_empty


def test_a_turn_that_ends_before_the_writer_has_run_sends_nothing_ahead_of_the_rest() -> None:
    model = Model([10, 100])
    turns: list[Turn] = [([20], None, 0), ([5], None, 0)]
    trio.run(model.play, turns)
    assert model.stream.received == frame(1, 20) + frame(2, 5)
