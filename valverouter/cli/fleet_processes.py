"""`valverouter fleet raft-server` and `fleet supervisor`: the control plane's processes."""

from __future__ import annotations

import secrets
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import click
import structlog
import trio

from valverouter.cli.command_support import FAILED, FILE, first_cause
from valverouter.config.rollout import RaftServerConfig, load_raft_server, load_supervisor
from valverouter.edge import logs
from valverouter.edge.signals import receive_signals
from valverouter.edge.sockets import SocketRuntime
from valverouter.fleet.raft_server import AlreadyBootstrappedError, RaftServer
from valverouter.fleet.supervisor_service import SupervisorService
from valverouter.ledger.raft_store import RaftStore
from valverouter.ledger.storage import StoreError, open_or_set_aside
from valverouter.ledger.supervisor_store import open_supervisor_store

log = structlog.get_logger()


@click.command("raft-server")
@click.argument("file", type=FILE)
@click.option(
    "--bootstrap",
    "--found",
    "bootstrap",
    is_flag=True,
    help="Bootstrap a new raft group with this node as its first; use once, at one node.",
)
def raft_server(file: Path, bootstrap: bool) -> None:
    """Run a raft server of the control plane with the settings in FILE until SIGTERM or SIGINT.

    A server whose store is empty waits until the others add it to the raft group. Logs go to standard error.
    """
    config = load_raft_server(file)
    logs.configure_logging(config.log)
    try:
        store = _open_store(config)
        try:
            trio.run(_run_raft_server, config, store, bootstrap)
        finally:
            store.close()
    except* (OSError, StoreError, AlreadyBootstrappedError) as group:
        log.error("could-not-run", why=str(first_cause(group)), listen=config.listen)
        sys.exit(FAILED)


def _open_store(config: RaftServerConfig) -> RaftStore:
    """Opens the raft store.

    A store that can't be read is moved aside and replaced by an empty one; the server is then a new member of
    the raft group, with a new id.
    """
    fresh = secrets.randbits(63)
    opened = open_or_set_aside(config.store, lambda: RaftStore(config.store, fresh), RaftStore.load)
    if opened.problem:
        log.error("raft-store-set-aside", why=opened.problem, to=str(opened.set_aside_to))
    return opened.store


async def _run_raft_server(config: RaftServerConfig, store: RaftStore, bootstrap: bool) -> None:
    server = RaftServer(config, SocketRuntime(), store, bootstrap)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        await _on_stop_signals(nursery.cancel_scope.cancel)


@click.command("supervisor")
@click.argument("file", type=FILE)
def supervisor(file: Path) -> None:
    """Supervise one instance with the settings in FILE until SIGTERM or SIGINT.

    On these signals the supervisor first stops its instance and reports this to the control plane, which
    counts the instance as unavailable without a permit. If the supervisor is killed, its instance keeps
    running and is adopted when the supervisor starts again.
    """
    config = load_supervisor(file)
    logs.configure_logging(config.log)
    try:
        store, state, set_aside = open_supervisor_store(config.store)
        if set_aside:
            log.error("supervisor-state-set-aside", why=set_aside)
        try:
            service = SupervisorService(config, SocketRuntime(), store, state)
            trio.run(_run_supervisor, service)
        finally:
            store.close()
    except* (OSError, StoreError) as group:
        log.error("could-not-run", why=str(first_cause(group)), listen=config.listen)
        sys.exit(FAILED)


async def _run_supervisor(service: SupervisorService) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_on_stop_signals, service.shut_down)
        await service.run()
        nursery.cancel_scope.cancel()


async def _on_stop_signals(callback: Callable[[], None]) -> None:
    """Calls `callback` at each signal; without a handler, a second signal would end the process at once."""
    with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            callback()
