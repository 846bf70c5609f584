"""Helpers for the tests of the membership service: keys, settings, and services on loopback sockets."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import trio

from tests.edge_harness import parse_config
from valverouter.config.gossip import GossipConfig, derive_key
from valverouter.edge.sockets import SocketRuntime
from valverouter.fleet.membership_service import MembershipService
from valverouter.membership.messages import Ping
from valverouter.membership.records import Phase

SCENARIO_FILE = Path("deploy/days/fleet-faults.ini")
KEY, OTHER_KEY = derive_key(b"k" * 40), derive_key(b"o" * 40)
MS, SECOND = 10**6, 10**9

GOSSIP_SECTION = "[between]\nlisten = 127.0.0.1:0\nkey = KEY\nseeds = 127.0.0.1:7001, [::1]:7002\n"
EDGE_SECTIONS = """
[edge]
name = e0
listen = 127.0.0.1:0
list_service = 127.0.0.1:1

[fleet]
edge_proxies = 24

[traffic plain]
objective = 1s

"""


def write_key_file(folder: Path, text: str = "k" * 40, mode: int = 0o600) -> Path:
    """Writes the key file that GOSSIP_SECTION names into the folder of the settings; returns its path."""
    file = folder / "key"
    file.write_text(text)
    file.chmod(mode)
    return file


def new_service(
    name: str, seeds: tuple[str, ...] = (), keys: tuple[bytes, ...] = (KEY,), listen: str = "127.0.0.1:0"
) -> MembershipService:
    config = edge_config(name)
    gossip_config = GossipConfig(listen, keys, seeds, period=100 * MS)
    return MembershipService(
        config,
        gossip_config,
        SocketRuntime(),
        random.Random(name).getrandbits(64),
        lambda: (Phase.SERVING, ""),
    )


def edge_config(name: str) -> Any:
    return msgspec.structs.replace(parse_config(), name=name)


@asynccontextmanager
async def running(*services: MembershipService) -> AsyncIterator[trio.Nursery]:
    async with trio.open_nursery() as nursery:
        for service in services:
            await nursery.start(service.run)
        yield nursery
        nursery.cancel_scope.cancel()


def address_of(service: MembershipService) -> str:
    assert service.membership is not None
    return service.membership.own_record.address


async def wait_until(condition: Callable[[], bool], timeout_s: float = 10.0) -> None:
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.02)


def live_members(service: MembershipService) -> set[str]:
    assert service.membership is not None
    view = service.membership.view
    return {name for name in view.records if view.is_live(name)}


def view_health(service: MembershipService) -> str:
    assert service.membership is not None
    return service.membership.view_health.value


def ping(incarnation: int = 7, nonce: int = 1) -> Ping:
    return Ping("e1", incarnation, 5, nonce, 9)
