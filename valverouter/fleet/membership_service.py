"""The task beside an edge proxy that carries its part of the fleet's view: one socket, one `Membership`.

It takes what came in small batches and gives way between them, so a flood costs the instance the reading of
it and no turn is held up. What came is read before what is due is done: after a stop of the process the
others' words must count before their silence does.
"""

from __future__ import annotations

import os
import zlib
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
import structlog
import trio

from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.surroundings import Datagrams, Surroundings
from valverouter.fleet.authentication import (
    MAX_DATAGRAM_BYTES,
    Authenticator,
    DatagramReader,
    MessageTooLongError,
)
from valverouter.fleet.queries import CountersQuery, CountersReply, ViewPage, ViewQuery, member_rows, paginate
from valverouter.membership.core import Membership
from valverouter.membership.records import Phase, Record
from valverouter.membership.rules import Rules
from valverouter.membership.trust import Trust
from valverouter.membership.voice import Told
from valverouter.rollout.keeping import Counts
from valverouter.terms.between import Between
from valverouter.terms.edge import EdgeTerms

# Datagrams taken in one go before the rest of the instance gets its turn.
BATCH = 16
# The longest sleep: facts of the instance are looked at as often.
LOOK_S = 0.25
# What is told of a fleet's course, at which level; the rest is info.
LEVELS = {"conflict": "error", "cut-off": "warning", "stalled": "warning", "accused": "warning"}
# Drops are told no oftener than so.
DROPS_TOLD_S = 60.0
# The version that a keeper started this process as.
VERSION_VARIABLE = "VALVEROUTER_VERSION"

log = structlog.get_logger()


def membership_facts(proxy: EdgeProxy) -> tuple[Phase, str]:
    """What an edge proxy tells its fleet of itself."""
    return Phase.DRAINING if proxy.stopping else Phase.SERVING, proxy.terms.digest


def instance_counters(proxy: EdgeProxy) -> Counts:
    """What an edge proxy tells its keeper."""
    answers = proxy.tally.answers
    declined = answers["declined"] + answers["declined-here"]
    lost = answers["aborted"] + proxy.tally.withheld
    return Counts(
        serving=not proxy.stopping,
        ready=proxy.ready,
        taken=answers["stands"] + declined + lost,
        declined=declined,
        lost=lost,
        late=proxy.tally.late,
        label=os.environ.get(VERSION_VARIABLE, ""),
        process=os.getpid(),
    )


class MembershipService:
    """An instance's place in its fleet. `facts` tells its phase and its terms' digest, asked now and then.

    `life`: 64 random bits, drawn for this process alone.
    """

    def __init__(
        self,
        terms: EdgeTerms,
        between: Between,
        surroundings: Surroundings,
        incarnation: int,
        facts: Callable[[], tuple[Phase, str]],
        version: str = "",
        on_event: Callable[[Told], None] = lambda told: None,
        counters: Callable[[], Counts] = Counts,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.membership: Membership | None = None
        self._terms = terms
        self._between = between
        self._surroundings = surroundings
        self._incarnation = incarnation
        self._facts = facts
        self._version = version
        self._watch = on_event
        self._tell_counts = counters
        self._authenticator = Authenticator(between.keys)
        self._reader = DatagramReader(self._authenticator)
        self._log = log.bind(edge=terms.name)
        self._draws = 0
        self._leaves = False
        self._sleep = trio.CancelScope()
        self.ended = trio.Event()
        self._told_size = terms.deployment.edge_proxies
        self._drops_told_at = float("-inf")

    def _draw(self) -> float:
        self._draws += 1
        return zlib.crc32(b"%d/%d" % (self._incarnation, self._draws)) / 2**32

    def _now(self) -> int:
        return round(trio.current_time() * 1e9)

    async def run(self, task_status: trio.TaskStatus[MembershipService] = trio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled; OSError when the address can't be had."""
        between, terms = self._between, self._terms
        socket = self._surroundings.datagrams(between.listen)
        try:
            phase, digest = self._facts()
            mine = Record(
                name=terms.name,
                region=terms.region,
                place=terms.place,
                address=between.advertise or socket.address,
                number=self._surroundings.wall() // 1_000_000,
                life=self._incarnation,
                version=self._version,
                terms=digest,
                phase=phase,
            )
            rules = Rules(period=between.period, remembers=between.remembers)
            self.membership = Membership(mine, rules, self._draw, self._now(), between.seeds)
            self._log.info(
                "between", address=socket.address, advertised=mine.address, life=f"{mine.life:016x}"
            )
            task_status.started(self)
            await self._serve(socket, self.membership)
        finally:
            socket.close()
            self.ended.set()

    async def _serve(self, socket: Datagrams, core: Membership) -> None:
        while not self._leaves:
            now = self._now()
            wait = min(max(0.0, (core.due - now) / 1e9), LOOK_S)
            with trio.move_on_after(wait) as self._sleep:
                await socket.readable()
            await self._surroundings.turn()
            for _ in range(BATCH):
                came = socket.take()
                if came is None:
                    break
                self._hear(socket, core, *came)
            now = self._now()
            phase, digest = self._facts()
            core.change(now, phase, digest)
            # A flood must not keep what is due from being done, nor a stop make it look due: read first, then
            # see how late it is.
            if core.due <= now:
                core.tick(now)
                self._look_at_size(core)
            self._flush(socket, core)
        core.leave(self._now())
        self._flush(socket, core)

    def leave(self) -> None:
        """Tells the others that this instance goes, and ends."""
        self._leaves = True
        self._sleep.cancel()

    def _hear(self, socket: Datagrams, core: Membership, data: bytes, source: str) -> None:
        message = self._reader.read(data)
        if message is None:
            self._drops()
        elif isinstance(message, ViewQuery):
            self._show(socket, core, message, source)
        elif isinstance(message, CountersQuery):
            told = msgspec.structs.replace(
                self._tell_counts(), life=self._incarnation, trust=core.trust.value
            )
            head = core.mine.name, core.mine.life, core.view.digest
            self._put(socket, source, CountersReply(*head, message.nonce, told))
        elif not isinstance(message, ViewPage | CountersReply):
            self.counts["heard"] += 1
            core.heard(self._now(), source, message)

    def _drops(self) -> None:
        for version in self._reader.unknown_versions:
            self._log.warning("version-unknown", version=version)
        self._reader.unknown_versions.clear()
        now = trio.current_time()
        if now - self._drops_told_at >= DROPS_TOLD_S:
            self._drops_told_at = now
            self._log.warning("datagrams-dropped", **self._reader.dropped)

    def _show(self, socket: Datagrams, core: Membership, query: ViewQuery, source: str) -> None:
        now = self._now()
        pages = paginate(member_rows(core, now))
        if 0 <= query.page < len(pages):
            first = query.page == 0
            counts = {f"dropped-{why}": n for why, n in self._reader.dropped.items()} | dict(self.counts)
            shown = ViewPage(
                core.mine.name,
                core.mine.life,
                core.view.digest,
                query.nonce,
                query.page,
                len(pages),
                core.trust.value,
                counts if first else {},
                pages[query.page],
            )
            self._put(socket, source, shown)

    def _put(self, socket: Datagrams, address: str, message: Any) -> None:
        try:
            data = self._authenticator.sign(message)
        except MessageTooLongError as error:
            self.counts["too-long"] += 1
            self._log.error("message-too-long", why=str(error), most=MAX_DATAGRAM_BYTES)
            return
        self.counts["sent"] += 1
        self.counts["sent-bytes"] += len(data)
        if not socket.send(data, address):
            self.counts["not-sent"] += 1

    def _flush(self, socket: Datagrams, core: Membership) -> None:
        for told in core.told:
            self._tell(core, told)
        core.told.clear()
        out, core.out = core.out, []
        for address, message in out:
            self._put(socket, address, message)

    def _tell(self, core: Membership, told: Told) -> None:
        self.counts[told.what] += 1
        self._watch(told)
        about = told.record
        level = LEVELS.get(told.what, "info")
        getattr(self._log, level)(
            f"member-{told.what}" if about.life != core.mine.life else f"view-{told.what}",
            member=about.name,
            life=f"{about.life:016x}",
            number=about.number,
            address=about.address,
            by=told.by,
            digest=f"{core.view.digest:016x}",
            members=core.view.living,
        )

    def _look_at_size(self, core: Membership) -> None:
        """Told once for each size that it settles on, whether or not it was unsettled in between."""
        members = core.view.living
        if core.trust is not Trust.SETTLED or members == self._told_size:
            return
        self._told_size = members
        by_terms = self._terms.deployment.edge_proxies
        if members != by_terms:
            self.counts["size-differs"] += 1
            self._log.warning("fleet-size-differs", members=members, edge_proxies=by_terms)
