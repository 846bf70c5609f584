"""`valverouter edge`: one edge proxy, its store and its signals."""

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

from valverouter.cli.common import FAILED, FILE, first_cause
from valverouter.edge import logs
from valverouter.edge.garbage_collection import tune_garbage_collector
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.resumable_proxy import make_edge_proxy
from valverouter.edge.sockets import SocketRuntime
from valverouter.fleet.instance_status import instance_counters, membership_facts
from valverouter.fleet.membership_service import MembershipService
from valverouter.ledger.dialog_store import DialogStore
from valverouter.ledger.storage import StoreError, open_or_set_aside
from valverouter.terms.edge import EdgeConfig, load_edge_config, load_when_stable
from valverouter.terms.ini import InvalidConfigError

log = structlog.get_logger()


@click.command()
@click.argument("file", type=FILE)
def edge(file: Path) -> None:
    """Run an edge proxy by the terms in FILE until SIGTERM or SIGINT.

    Logs go to standard error. SIGHUP reads FILE again. SIGTERM takes no more dialogs, lets those here have
    their answers, and ends.
    """
    terms = load_edge_config(file)
    logs.configure_logging(terms.log)
    try:
        trio.run(_edge, terms, file)
    except* (OSError, StoreError) as group:
        log.error("could-not-run", why=str(first_cause(group)), listen=terms.listen)
        sys.exit(FAILED)


async def _edge(terms: EdgeConfig, file: Path) -> None:
    with _store(terms) as store:
        runtime = SocketRuntime(terms.links.silence)
        proxy = make_edge_proxy(terms, runtime, store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_signals, proxy, file)
            fleet = None
            if terms.between is not None:
                fleet = MembershipService(
                    terms,
                    terms.between,
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
def _store(terms: EdgeConfig) -> Iterator[DialogStore | None]:
    """The ledger of the terms. One that can't be read is set aside whole: what it held is lost, and no reason
    to serve nobody."""
    told = terms.ledger
    if not told.folder:
        yield None
        return
    folder = Path(told.folder)
    opened = open_or_set_aside(folder, lambda: DialogStore(folder, told.most, told.sync), DialogStore.verify)
    if opened.problem:
        log.error("ledger-set-aside", why=opened.problem, to=str(opened.set_aside_to))
    with opened.store:
        yield opened.store


async def _signals(proxy: EdgeProxy, file: Path) -> None:
    """However often it is asked, one reading goes on at a time and one more waits; a stop waits for none."""
    ask, asked = trio.open_memory_channel[None](1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_reloads, proxy, file, asked)
        await _heard(proxy, ask)


async def _heard(proxy: EdgeProxy, ask: trio.MemorySendChannel[None]) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                proxy.stop()
                continue
            with suppress(trio.WouldBlock):
                ask.send_nowait(None)


async def _reloads(proxy: EdgeProxy, file: Path, asked: trio.MemoryReceiveChannel[None]) -> None:
    """Reads FILE when asked. Whatever it holds, the terms that act stay and the instance goes on: a fault of
    ours in reading it must not be worse than the file."""
    async for _ in asked:
        try:
            terms = await load_when_stable(file)
            proxy.reload(terms, await trio.to_thread.run_sync(proxy.policies_of, terms), str(file))
        except InvalidConfigError as error:
            proxy.reject_reload(str(file), str(error), flaws=len(error.problems))
        except Exception as error:
            proxy.reject_reload(str(file), f"{type(error).__name__}: {error}", exc_info=True)
