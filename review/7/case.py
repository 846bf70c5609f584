"""Case 7: usual callers are not answered while bad clients send releases of unknown calls."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins_2 as stand_ins

CALLS, RATE, LEFT_MS = 150, 10, 3_000
# Bad clients connect after this many calls, and go after this many seconds if they were not closed.
BAD_CLIENTS, FLOOD_AT, FLOOD_S = 3, 30, 3.0
# The page of the days at full size: an answer up to half a second late only earns nothing.
LATE_S = 0.5


def send_releases(port: int) -> int:
    """Sends releases at full speed until closed or until FLOOD_S have passed; returns how many."""
    ids = range(0x1000, 0x2000)
    block = b"".join(stand_ins.encode(stand_ins.RELEASE, f"{i:016x}", {157: b"\x10"}) for i in ids)
    end, sent = time.time() + FLOOD_S, 0
    with socket.create_connection((stand_ins.HOST, port)) as connection, contextlib.suppress(OSError):
        connection.settimeout(FLOOD_S)
        while time.time() < end:
            connection.sendall(block)
            sent += len(ids)
    return sent


async def flood(record: stand_ins.Record, edge: stand_ins.EdgeProxy) -> None:
    """Runs the bad clients: their releases name calls that no core server knows."""
    start = time.time()
    record.write(f"{BAD_CLIENTS} bad clients connect")
    clients = [asyncio.to_thread(send_releases, edge.port) for _ in range(BAD_CLIENTS)]
    sent = await asyncio.gather(*clients)
    record.say(f"the bad clients sent {sent} releases in {time.time() - start:.1f} s and left")


async def watch_memory(edge: stand_ins.EdgeProxy) -> float:
    """Returns the most memory that the edge proxy had, in MB, until this task is cancelled."""
    most = 0.0
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            most = max(most, edge.memory_mb)
            await asyncio.sleep(0.05)
    return most


async def case(record: stand_ins.Record) -> list[str]:
    """Plays the case."""
    bus = stand_ins.Bus(record)
    await bus.start()
    servers = [stand_ins.CoreServer(record, f"s-{i}", i, lambda id_: 5.0) for i in range(2)]
    for server in servers:
        await server.start()
    bus.tell(servers, "Ready", whole=True)
    edge = stand_ins.EdgeProxy(record, bus)
    calls: dict[str, stand_ins.Call] = {}
    try:
        await edge.start()
        watching = asyncio.create_task(watch_memory(edge))
        callers = [stand_ins.Caller(record, f"caller {i}", calls) for i in range(3)]
        for caller in callers:
            await caller.connect(edge.port)
        flooding = None
        for i in range(CALLS):
            if i == FLOOD_AT and stand_ins.trouble():
                flooding = asyncio.create_task(flood(record, edge))
            callers[i % 3].set_up(f"a{i:015x}", LEFT_MS, i % 2)
            await asyncio.sleep(1 / RATE)
        if flooding is not None:
            await flooding
        await asyncio.sleep(LEFT_MS / 1000 + LATE_S + 1)
        watching.cancel()
        memory = await watching
        record.say(f"the edge proxy had at most {memory:.0f} MB, its limit is {stand_ins.MEMORY_MB} MB")
        if edge.has_ended:
            return ["the edge proxy ended"]
    finally:
        await edge.end()
    limit = LEFT_MS / 1000 + LATE_S + stand_ins.SLACK_S
    late = [c for c in calls.values() if c.final is None or c.final[2] > c.sent_at + limit]
    record.say(f"{len(calls)} calls of usual callers, {len(late)} without an answer in time")
    faults = [f"call {call.id}: {call.result()}" for call in late]
    if memory > stand_ins.MEMORY_MB:
        faults.append(f"{memory:.0f} MB of memory: the platform kills the edge proxy over its limit")
    return faults


if __name__ == "__main__":
    stand_ins.run_case(case, Path(__file__).resolve().parent)
