"""Measures the set-up rate of one edge proxy on one core on loopback, and the delay that it adds.

    python benchmarks/edge.py [--seconds 5] [--rounds 3] [--profile] [--long 600] [--ledgers] [--views 220]

A minimal trio relay of the same messages is measured in the same run, alternating with the edge proxy.
Callers and servers are separate processes on blocking sockets, so that they are not the bottleneck. The
rate is measured in a closed loop, the delays in an open loop at half the edge proxy's rate, from the time
at which each set-up was due to be sent, so that a slow answer does not hide the delay of later ones.
--ledgers compares, without the relay, edge proxies without a dialog store, with one, and with one that
waits for the disk, alternating in one run. --views compares two edge proxies, one of which is in a
membership view of that many members; the other members run in a separate process.
"""

from __future__ import annotations

import argparse
import cProfile
import multiprocessing as mp
import os
import pstats
import random
import socket
import statistics
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import trio
from hdrh.histogram import HdrHistogram

from valverouter.config.edge import edge_config
from valverouter.config.gossip import GossipConfig, derive_key
from valverouter.config.ini import IniFile
from valverouter.edge.garbage_collection import tune_garbage_collector
from valverouter.edge.logs import configure_logging
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.resumable_proxy import make_edge_proxy
from valverouter.edge.sockets import SocketRuntime
from valverouter.fleet.membership_service import MembershipService
from valverouter.ledger.dialog_store import DialogStore
from valverouter.membership.records import Phase
from valverouter.signalling import setup
from valverouter.signalling.framing import FrameReader, encode_frame
from valverouter.signalling.greeting import Hello, Welcome
from valverouter.signalling.serverlist import EndpointRegistry, EndpointRow, ListSession, Watch
from valverouter.signalling.setup import Ended, Established, Provisional, Release, Setup, SetupSession

SERVERS = 8
CALLERS = 2
OUTSTANDING = 12
INI = """
[edge]
name = e0
listen = 127.0.0.1:0
list_service = 127.0.0.1:{port}
[fleet]
edge_proxies = 1
[links]
waiting_bytes = 4000000
[log]
level = error
[traffic plain]
objective = 1500ms
length = 1s
"""


def listen() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0), backlog=64)
    return sock


def set_no_delay(sock: socket.socket) -> socket.socket:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def receive_or_end(conn: socket.socket) -> bytes:
    with suppress(ConnectionResetError):
        return conn.recv(65_536)
    return b""


def serve(sock: socket.socket, name: str) -> None:
    """Runs a server that answers immediately, with one thread per connection."""

    def serve_connection(conn: socket.socket) -> None:
        session = SetupSession(max_open_legs=10**6)
        while data := receive_or_end(conn):
            out = []
            for message in session.receive(data):
                if isinstance(message, Hello):
                    out.append(session.send(Welcome(1, name, 1, 10**15)))
                elif isinstance(message, Setup):
                    out.append(session.send(Provisional(message.dialog, message.leg)))
                    out.append(session.send(Established(message.dialog, message.leg)))
                elif isinstance(message, Release) and (message.dialog, message.leg) in session.legs:
                    out.append(session.send(Ended(message.dialog, message.leg, "released")))
            conn.sendall(b"".join(out))

    while True:
        conn, _ = sock.accept()
        threading.Thread(target=serve_connection, args=(set_no_delay(conn),), daemon=True).start()


def run_caller(
    address: tuple[str, int],
    number: int,
    seconds: float,
    rate: float,
    results: Any,
    keep_dialogs: bool = False,
) -> None:
    """Runs callers on one connection: in a closed loop if `rate` is 0, else in an open loop.

    Puts the counts and an encoded histogram of the delays into `results`. `keep_dialogs`: established dialogs
    are not released before the end, so that they accumulate.
    """
    conn = set_no_delay(socket.create_connection(address))
    session = SetupSession(Hello((1, 1), "caller", f"c{number}"), max_open_legs=10**6)
    conn.sendall(session.hello_frame())
    while not session.version:
        list(session.receive(conn.recv(65_536)))
    time.sleep(0.2)
    histogram = HdrHistogram(1, 60_000_000, 3)
    due: dict[str, float] = {}
    established = rejected = sent = 0
    began = time.perf_counter()
    gap = 1 / rate if rate else 0.0

    def encode_setup(at: float) -> bytes:
        nonlocal sent
        dialog = f"{number}-{sent}-{began}"
        due[dialog] = at
        message = Setup(
            dialog=dialog,
            traffic_type="plain",
            time_left=9 * 10**9,
            preferred_server_number=(number + sent) % SERVERS,
        )
        sent += 1
        return session.send(message)

    if not rate:
        conn.sendall(b"".join(encode_setup(began) for _ in range(OUTSTANDING)))
    while (now := time.perf_counter()) < began + seconds:
        out = []
        if rate:
            while began + sent * gap <= now:
                out.append(encode_setup(began + sent * gap))
            if out:
                conn.sendall(b"".join(out))
                out = []
            conn.settimeout(max(1e-6, began + sent * gap - time.perf_counter()))
        try:
            data = conn.recv(262_144)
        except (TimeoutError, BlockingIOError):
            continue
        now = time.perf_counter()
        for message in session.receive(data):
            if isinstance(message, Established):
                established += 1
                histogram.record_value(max(1, int((now - due.pop(message.dialog)) * 1e6)))
                if not keep_dialogs:
                    out.append(session.send(Release(message.dialog)))
            elif isinstance(message, setup.Rejected | setup.Failed):
                rejected += 1
                due.pop(message.dialog)
            if not rate and isinstance(message, Established | setup.Rejected | setup.Failed):
                out.append(encode_setup(now))
        if out:
            conn.settimeout(None)
            conn.sendall(b"".join(out))
    results.put((established, rejected, histogram.encode()))
    if keep_dialogs:
        time.sleep(3)  # until the parent has read the edge proxy's memory usage
    conn.close()


def list_service(sock: socket.socket, rows: list[EndpointRow]) -> None:
    registry = EndpointRegistry("bench")
    registry.change(rows)

    def serve_connection(conn: socket.socket) -> None:
        session = ListSession()
        while data := conn.recv(65_536):
            for message in session.receive(data):
                if isinstance(message, Hello):
                    conn.sendall(session.send(Welcome(1, "list")))
                elif isinstance(message, Watch):
                    conn.sendall(b"".join(session.send(answer) for answer in registry.answer(message)))

    while True:
        conn, _ = sock.accept()
        threading.Thread(target=serve_connection, args=(conn,), daemon=True).start()


KEY = derive_key(b"what benchmarks are keyed with, and nothing else")


def make_member(name: str, seeds: tuple[str, ...], port: int) -> MembershipService:
    config = edge_config(IniFile(INI.format(port=port).replace("name = e0", f"name = {name}"), "bench"))
    gossip_config = GossipConfig("127.0.0.1:0", (KEY,), seeds)
    return MembershipService(
        config, gossip_config, SocketRuntime(), random.getrandbits(64), lambda: (Phase.SERVING, config.digest)
    )


def run_members(count: int, outputs: Any) -> None:
    """Runs `count` members of a view without edge proxies.

    Puts the address of one member into `outputs`, and a line once its view has converged.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            first = make_member("m0", (), 1)
            await nursery.start(first.run)
            assert first.membership is not None
            others = [
                make_member(f"m{at}", (first.membership.own_record.address,), 1) for at in range(1, count)
            ]
            for one in others:
                await nursery.start(one.run)
            outputs.put(first.membership.own_record.address)
            membership = first.membership
            while membership.view.live_count < count + 1 or membership.view_health.value != "settled":
                await trio.sleep(0.2)
            outputs.put(f"{membership.view.live_count} members, {membership.view_health.value}")
            await trio.sleep_forever()

    configure_logging(edge_config(IniFile(INI.format(port=1), "bench")).log)
    trio.run(main)


def run_edge(
    port: int, outputs: Any, profile: str, folder: str = "", sync: str = "none", seed: str = ""
) -> None:
    config = edge_config(IniFile(INI.format(port=port), "bench"))
    configure_logging(config.log)
    store = DialogStore(Path(folder), sync=sync) if folder else None

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            proxy: EdgeProxy = await nursery.start(make_edge_proxy(config, SocketRuntime(), store).run)
            if seed:
                await nursery.start(make_member("e0", (seed,), port).run)
            tune_garbage_collector()
            outputs.put(proxy.address)
            with trio.open_signal_receiver(15) as signals:
                async for _ in signals:
                    nursery.cancel_scope.cancel()
                    return

    run_profiled(main, profile)


def run_profiled(main: Any, profile: str) -> None:
    if not profile:
        trio.run(main)
        return
    profiler = cProfile.Profile()
    profiler.enable()
    trio.run(main)
    profiler.disable()
    pstats.Stats(profiler).dump_stats(profile)


def run_relay(addresses: list[tuple[str, int]], outputs: Any) -> None:
    """Only forwards frames: callers' to the preferred server, answers to the caller of their dialog."""

    async def main() -> None:
        links = [await trio.open_tcp_stream(*address) for address in addresses]
        link_locks = [trio.Lock() for _ in links]
        callers: dict[str, trio.SocketStream] = {}
        for link in links:
            await link.send_all(encode_frame(Hello((1, 1), "edge", "relay")))
        decoder = msgspec.msgpack.Decoder()
        locks: dict[int, trio.Lock] = {}

        async def forward_answers(link: trio.SocketStream) -> None:
            reader = FrameReader()
            while data := await link.receive_some(65_536):
                out: dict[int, list[bytes]] = {}
                for body in reader.feed(data):
                    message = decoder.decode(body)
                    caller = callers.get(message.get("dialog", "").partition("-")[0])
                    if caller is not None:
                        out.setdefault(id(caller), []).append(len(body).to_bytes(4, "big") + body)
                for caller in list(callers.values()):
                    if id(caller) in out:
                        async with locks[id(caller)]:
                            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                                await caller.send_all(b"".join(out[id(caller)]))

        async def serve_caller(stream: trio.SocketStream) -> None:
            try:
                await forward_setups(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                for caller_name in [caller_name for caller_name, one in callers.items() if one is stream]:
                    del callers[caller_name]

        async def forward_setups(stream: trio.SocketStream) -> None:
            reader = FrameReader()
            locks[id(stream)] = trio.Lock()
            while data := await stream.receive_some(65_536):
                out: dict[int, list[bytes]] = {}
                for body in reader.feed(data):
                    message = decoder.decode(body)
                    if message["t"] == "hello":
                        await stream.send_all(encode_frame(Welcome(1, "relay")))
                        continue
                    caller_name, serial, _ = message["dialog"].split("-")
                    callers[caller_name] = stream
                    at = (int(caller_name) + int(serial)) % len(links)
                    out.setdefault(at, []).append(len(body).to_bytes(4, "big") + body)
                for at, frames in out.items():
                    async with link_locks[at]:
                        await links[at].send_all(b"".join(frames))

        async with trio.open_nursery() as nursery:
            for link in links:
                nursery.start_soon(forward_answers, link)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            outputs.put(f"127.0.0.1:{listeners[0].socket.getsockname()[1]}")
            await trio.serve_listeners(serve_caller, listeners)

    trio.run(main)


def measure_load(
    address: str, seconds: float, rate: float = 0.0, pid: int = 0
) -> tuple[float, float, HdrHistogram]:
    """Returns dialogs established per second, the fraction rejected, and the delays in microseconds.

    With a pid, keeps the dialogs open and prints the resident memory of that process.
    """
    host, _, port = address.rpartition(":")
    results: Any = mp.Queue()
    processes = [
        mp.Process(
            target=run_caller, args=((host, int(port)), number, seconds, rate / CALLERS, results, pid > 0)
        )
        for number in range(CALLERS)
    ]
    for process in processes:
        process.start()
    merged = HdrHistogram(1, 60_000_000, 3)
    established = rejected = 0
    for _ in processes:
        caller_established, caller_rejected, encoded = results.get()
        established += caller_established
        rejected += caller_rejected
        merged.decode_and_add(encoded)
    if pid:
        print(f"{established} dialogs established, {resident_kib(pid)} KiB resident", flush=True)
    for process in processes:
        process.join()
    return established / seconds, rejected / max(1, established + rejected), merged


def resident_kib(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def format_percentiles(histogram: HdrHistogram) -> str:
    return "  ".join(f"p{p:g} {histogram.get_value_at_percentile(p) / 1000:.2f} ms" for p in (50, 99, 99.9))


def compare_dialog_stores(list_port: int, seconds: float, rounds: int) -> None:
    """Compares rates, and delays at half the rate without a store, with and without a dialog store."""
    outputs: Any = mp.Queue()
    with tempfile.TemporaryDirectory() as folder:
        started: dict[str, tuple[str, mp.Process]] = {}
        for name in ("without", "none", "each"):
            at = "" if name == "without" else f"{folder}/{name}"
            process = mp.Process(
                target=run_edge, args=(list_port, outputs, "", at, "each" if name == "each" else "none")
            )
            process.start()
            started[name] = outputs.get(), process
        time.sleep(0.5)
        for address, _ in started.values():
            measure_load(address, 1)
        rates: dict[str, list[float]] = {name: [] for name in started}
        for _ in range(rounds):
            for name, (address, _) in started.items():
                rates[name].append(measure_load(address, seconds)[0])
            print(
                "closed loop: " + ", ".join(f"{name} {rate[-1]:.0f}/s" for name, rate in rates.items()),
                flush=True,
            )
        for name in ("none", "each"):
            ratios = sorted(a / b for a, b in zip(rates[name], rates["without"], strict=True))
            print(f"{name} against without: {ratios[0]:.2f} to {ratios[-1]:.2f}")
        half = statistics.median(rates["without"]) / 2
        for _ in range(rounds):
            for name, (address, _) in started.items():
                _, rejected, histogram = measure_load(address, seconds, half)
                size = sum(file.stat().st_blocks * 512 for file in Path(folder, name).glob("*.mdb")) // 1024
                print(
                    f"open loop at {half:.0f}/s, {name}: {format_percentiles(histogram)}, "
                    f"{rejected:.1%} rejected, {size} KiB stored"
                )
        for _, process in started.values():
            process.terminate()
            process.join()


def compare_with_view(list_port: int, seconds: float, rounds: int, members: int) -> None:
    """Compares rates, and delays at half the rate, of edge proxies with and without a membership view."""
    outputs: Any = mp.Queue()
    others = mp.Process(target=run_members, args=(members - 1, outputs), daemon=True)
    others.start()
    seed = outputs.get()
    at: dict[str, str] = {}
    started = []
    for name, first in (("without", ""), ("with", seed)):
        process = mp.Process(target=run_edge, args=(list_port, outputs, "", "", "none", first))
        process.start()
        started.append(process)
        answers = [outputs.get(), outputs.get()] if first else [outputs.get()]
        at[name] = next(answer for answer in answers if ":" in answer)
    print(next(answer for answer in answers if ":" not in answer), flush=True)
    for address in at.values():
        measure_load(address, 1)
    rates: dict[str, list[float]] = {name: [] for name in at}
    for number in range(rounds):
        # The order alternates, because the second of a pair finds a warmer machine.
        for name in list(at) if number % 2 else list(reversed(at)):
            rates[name].append(measure_load(at[name], seconds)[0])
    ratios = sorted(a / b for a, b in zip(rates["with"], rates["without"], strict=True))
    median_rates = {name: statistics.median(rate) for name, rate in rates.items()}
    print(
        f"closed loop: without {median_rates['without']:.0f}/s, "
        f"with {median_rates['with']:.0f}/s in the median"
    )
    print(
        f"with against without: {ratios[0]:.3f} to {ratios[-1]:.3f}, median {statistics.median(ratios):.3f}"
    )
    half = median_rates["without"] / 2
    p99: dict[str, list[float]] = {name: [] for name in at}
    for number in range(rounds):
        for name in list(at) if number % 2 else list(reversed(at)):
            histogram = measure_load(at[name], seconds, half)[2]
            p99[name].append(histogram.get_value_at_percentile(99) / 1000)
    for name, p99_ms in p99.items():
        low, high = min(p99_ms), max(p99_ms)
        median = statistics.median(p99_ms)
        print(f"open loop at {half:.0f}/s, {name}: p99 {median:.2f} ms, {low:.2f} to {high:.2f}")
    for process in (*started, others):
        process.terminate()
        process.join()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--views", type=int, default=0, help="members of the view; 0: skip this comparison")
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--long", type=float, default=0, help="seconds of the memory run; 0: skip it")
    parser.add_argument("--ledgers", action="store_true")
    options = parser.parse_args()
    mp.set_start_method("fork")
    sockets = [listen() for _ in range(SERVERS)]
    addresses: list[tuple[str, int]] = [sock.getsockname() for sock in sockets]
    servers = [mp.Process(target=serve, args=(sock, f"s{n}"), daemon=True) for n, sock in enumerate(sockets)]
    for server in servers:
        server.start()
    rows = [
        EndpointRow(f"s{n}", n, "in-service", f"127.0.0.1:{port}", "", 1)
        for n, (_, port) in enumerate(addresses)
    ]
    list_socket = listen()
    list_process = mp.Process(target=list_service, args=(list_socket, rows), daemon=True)
    list_process.start()
    if options.ledgers:
        compare_dialog_stores(list_socket.getsockname()[1], options.seconds, options.rounds)
        return
    if options.views:
        compare_with_view(list_socket.getsockname()[1], options.seconds, options.rounds, options.views)
        return
    outputs: Any = mp.Queue()
    with tempfile.TemporaryDirectory() as folder:
        profile = str(Path(folder) / "edge.prof") if options.profile else ""
        edge_process = mp.Process(target=run_edge, args=(list_socket.getsockname()[1], outputs, profile))
        edge_process.start()
        edge_address = outputs.get()
        relay_process = mp.Process(target=run_relay, args=(addresses, outputs), daemon=True)
        relay_process.start()
        relay_address = outputs.get()
        time.sleep(0.5)
        measure_load(edge_address, 1), measure_load(relay_address, 1)
        rates: dict[str, list[float]] = {"edge": [], "relay": []}
        for _ in range(options.rounds):
            for name, at in (("edge", edge_address), ("relay", relay_address)):
                rate, rejected, _ = measure_load(at, options.seconds)
                rates[name].append(rate)
                print(f"closed loop, {name}: {rate:.0f} dialogs/s, {rejected:.1%} rejected", flush=True)
        ratios = [a / b for a, b in zip(rates["edge"], rates["relay"], strict=True)]
        half = statistics.median(rates["edge"]) / 2
        print(f"edge against relay: {min(ratios):.2f} to {max(ratios):.2f}, {len(ratios)} rounds")
        added: list[float] = []
        for _ in range(options.rounds):
            p99 = {}
            for name, at in (("edge", edge_address), ("relay", relay_address)):
                rate, rejected, histogram = measure_load(at, options.seconds, half)
                p99[name] = histogram.get_value_at_percentile(99)
                print(
                    f"open loop at {half:.0f}/s, {name}: {format_percentiles(histogram)}, "
                    f"{rejected:.1%} rejected",
                    flush=True,
                )
            added.append(p99["edge"] / p99["relay"])
        print(f"p99 of a set-up against the relay's: {', '.join(f'{one:.2f}' for one in sorted(added))}")
        print(f"before dialogs accumulate: {resident_kib(edge_process.pid or 0)} KiB resident")
        measure_load(edge_address, 6, half, edge_process.pid or 0)
        if options.long:
            began, first = time.monotonic(), 0
            while time.monotonic() - began < options.long:
                measure_load(edge_address, min(30.0, options.long), half / 2)
                first = first or resident_kib(edge_process.pid or 0)
                print(
                    f"{time.monotonic() - began:5.0f} s: {resident_kib(edge_process.pid or 0)} KiB",
                    flush=True,
                )
            print(
                f"memory after the first load {first} KiB, "
                f"at the end {resident_kib(edge_process.pid or 0)} KiB"
            )
        edge_process.terminate()
        edge_process.join()
        if profile and os.path.exists(profile):
            pstats.Stats(profile, stream=sys.stdout).sort_stats("tottime").print_stats(25)
    relay_process.terminate()


if __name__ == "__main__":
    main()
