"""`valverouter fleet council` and `fleet keeper`: the processes beside the edge proxies."""

from __future__ import annotations

import secrets
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import click
import structlog
import trio

from valverouter.cli.common import FAILED, FILE, leaf
from valverouter.edge import logs
from valverouter.edge.surroundings import Sockets
from valverouter.fleet.raft_server import AlreadyBootstrappedError, RaftServer
from valverouter.fleet.supervisor_service import SupervisorService
from valverouter.ledger.raft_store import RaftStore
from valverouter.ledger.storage import StoreError, open_or_set_aside
from valverouter.ledger.supervisor_store import open_supervisor_store
from valverouter.terms.rollout import SeatTerms, load_keeper, load_seat

log = structlog.get_logger()


@click.command("council")
@click.argument("file", type=FILE)
@click.option("--found", is_flag=True, help="The first seat of a new council; once, at one seat.")
def council(file: Path, found: bool) -> None:
    """Run a seat of the council by the terms in FILE until SIGTERM or SIGINT.

    A seat whose store is empty waits to be let in by the others. Logs go to standard error.
    """
    terms = load_seat(file)
    logs.set_up(terms.log)
    try:
        store = _store(terms)
        try:
            trio.run(_seat, terms, store, found)
        finally:
            store.close()
    except* (OSError, StoreError, AlreadyBootstrappedError) as group:
        log.error("could-not-run", why=str(leaf(group)), listen=terms.listen)
        sys.exit(FAILED)


def _store(terms: SeatTerms) -> RaftStore:
    """One that can't be read whole is a lost disk: set aside, and the seat comes back as another."""
    fresh = secrets.randbits(63)
    opened = open_or_set_aside(terms.store, lambda: RaftStore(terms.store, fresh), RaftStore.load)
    if opened.problem:
        log.error("record-set-aside", why=opened.problem, to=str(opened.set_aside_to))
    return opened.store


async def _seat(terms: SeatTerms, store: RaftStore, found: bool) -> None:
    task = RaftServer(terms, Sockets(), store, found)
    async with trio.open_nursery() as nursery:
        await nursery.start(task.run)
        await _asked(nursery.cancel_scope.cancel)


@click.command("keeper")
@click.argument("file", type=FILE)
def keeper(file: Path) -> None:
    """Keep one instance by the terms in FILE until SIGTERM or SIGINT.

    Asked to end, it asks its instance to end first, and tells the council, which counts it as out without
    leave. Killed, it leaves its instance running, and takes it over when it is started again.
    """
    terms = load_keeper(file)
    logs.set_up(terms.log)
    try:
        store, memory, aside = open_supervisor_store(terms.store)
        if aside:
            log.error("memory-set-aside", why=aside)
        try:
            task = SupervisorService(terms, Sockets(), store, memory)
            trio.run(_keep, task)
        finally:
            store.close()
    except* (OSError, StoreError) as group:
        log.error("could-not-run", why=str(leaf(group)), listen=terms.listen)
        sys.exit(FAILED)


async def _keep(task: SupervisorService) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_asked, task.shut_down)
        await task.run()
        nursery.cancel_scope.cancel()


async def _asked(act: Callable[[], None]) -> None:
    """However often: a second signal that met nobody listening ended a keeper before its instance had."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            act()
