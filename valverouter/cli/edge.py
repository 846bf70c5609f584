"""`valverouter edge`: runs an edge proxy with its dialog store, membership service and signal handlers."""

from __future__ import annotations

import secrets
import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from importlib.metadata import version
from pathlib import Path

import click
import structlog
import trio

from valverouter.cli.command_support import FAILED, FILE, first_cause
from valverouter.config.edge import EdgeConfig, load_edge_config, load_when_stable
from valverouter.config.ini import InvalidConfigError
from valverouter.edge import logs
from valverouter.edge.garbage_collection import tune_garbage_collector
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.resumable_proxy import make_edge_proxy
from valverouter.edge.signals import receive_signals
from valverouter.edge.sockets import SocketRuntime
from valverouter.fleet.instance_status import instance_counters, membership_facts
from valverouter.fleet.membership_service import MembershipService
from valverouter.ledger.dialog_store import DialogStore
from valverouter.ledger.storage import StoreError, open_or_set_aside

log = structlog.get_logger()


@click.command()
@click.argument("file", type=FILE)
def edge(file: Path) -> None:
    """Run an edge proxy with the configuration in FILE until SIGTERM or SIGINT.

    Logs go to standard error. On SIGHUP, FILE is reloaded. On SIGTERM, the edge proxy accepts no new dialogs,
    answers the pending ones, and exits.
    """
    config = load_edge_config(file)
    logs.configure_logging(config.log)
    try:
        trio.run(_run_edge, config, file)
    except* (OSError, StoreError) as group:
        log.error("could-not-run", why=str(first_cause(group)), listen=config.listen)
        sys.exit(FAILED)


async def _run_edge(config: EdgeConfig, file: Path) -> None:
    with _open_store(config) as store:
        runtime = SocketRuntime(config.links.silence)
        proxy = make_edge_proxy(config, runtime, store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_serve_signals, proxy, file)
            fleet = None
            if config.between is not None:
                fleet = MembershipService(
                    config,
                    config.between,
                    runtime,
                    secrets.randbits(64),
                    lambda: membership_facts(proxy),
                    version("valverouter"),
                    counters=lambda: instance_counters(proxy),
                )
                await nursery.start(fleet.run)
            tune_garbage_collector()
            await proxy.run()
            if fleet is not None:
                fleet.leave()
                await fleet.ended.wait()
            nursery.cancel_scope.cancel()


@contextmanager
def _open_store(config: EdgeConfig) -> Iterator[DialogStore | None]:
    """Opens the configured dialog store; yields None if none is configured.

    A store that can't be read is moved aside and replaced by an empty one: its records are lost, but the edge
    proxy still serves callers.
    """
    ledger = config.ledger
    if not ledger.folder:
        yield None
        return
    folder = Path(ledger.folder)
    opened = open_or_set_aside(
        folder, lambda: DialogStore(folder, ledger.most, ledger.sync), DialogStore.verify
    )
    if opened.problem:
        log.error("ledger-set-aside", why=opened.problem, to=str(opened.set_aside_to))
    with opened.store:
        yield opened.store


async def _serve_signals(proxy: EdgeProxy, file: Path) -> None:
    """Handles the process's signals.

    At most one reload runs and one is pending, however many SIGHUPs arrive. A stop waits for no reload.
    """
    send_request, requests = trio.open_memory_channel[None](1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_serve_reloads, proxy, file, requests)
        await _receive_signals(proxy, send_request)


async def _receive_signals(proxy: EdgeProxy, send_request: trio.MemorySendChannel[None]) -> None:
    with receive_signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                proxy.stop()
                continue
            with suppress(trio.WouldBlock):
                send_request.send_nowait(None)


async def _serve_reloads(proxy: EdgeProxy, file: Path, requests: trio.MemoryReceiveChannel[None]) -> None:
    """Reloads the configuration file at each request.

    If the file is invalid or reading it fails, the edge proxy keeps running with its current configuration.
    """
    async for _ in requests:
        try:
            config = await load_when_stable(file)
            proxy.reload(
                config, await trio.to_thread.run_sync(proxy.build_attempt_policies, config), str(file)
            )
        except InvalidConfigError as error:
            proxy.reject_reload(str(file), str(error), flaws=len(error.problems))
        except Exception as error:
            proxy.reject_reload(str(file), f"{type(error).__name__}: {error}", exc_info=True)
