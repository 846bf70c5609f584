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
from valverouter.fleet.asking import Count, Counted, Query, Shown, pages_of, rows_of
from valverouter.fleet.sealing import MOST, Opener, Seal, TooLongError
from valverouter.membership.config import MembershipConfig
from valverouter.membership.convergence import ViewHealth
from valverouter.membership.events import MembershipEvent
from valverouter.membership.membership import Membership
from valverouter.membership.records import MemberRecord, Phase
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
LABEL = "VALVEROUTER_VERSION"

log = structlog.get_logger()


def facts_of(proxy: EdgeProxy) -> tuple[Phase, str]:
    """What an edge proxy tells its fleet of itself."""
    return Phase.DRAINING if proxy.stopping else Phase.SERVING, proxy.terms.digest


def counts_of(proxy: EdgeProxy) -> Counts:
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
        label=os.environ.get(LABEL, ""),
        process=os.getpid(),
    )


class FleetTask:
    """An instance's place in its fleet. `facts` tells its phase and its terms' digest, asked now and then.

    `life`: 64 random bits, drawn for this process alone.
    """

    def __init__(
        self,
        terms: EdgeTerms,
        between: Between,
        surroundings: Surroundings,
        life: int,
        facts: Callable[[], tuple[Phase, str]],
        version: str = "",
        watch: Callable[[MembershipEvent], None] = lambda told: None,
        tell_counts: Callable[[], Counts] = Counts,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.core: Membership | None = None
        self._terms = terms
        self._between = between
        self._surroundings = surroundings
        self._life = life
        self._facts = facts
        self._version = version
        self._watch = watch
        self._tell_counts = tell_counts
        self._seal = Seal(between.keys)
        self._opener = Opener(self._seal)
        self._log = log.bind(edge=terms.name)
        self._draws = 0
        self._leaves = False
        self._sleep = trio.CancelScope()
        self.ended = trio.Event()
        self._told_size = terms.deployment.edge_proxies
        self._drops_told_at = float("-inf")

    def _draw(self) -> float:
        self._draws += 1
        return zlib.crc32(b"%d/%d" % (self._life, self._draws)) / 2**32

    def _now(self) -> int:
        return round(trio.current_time() * 1e9)

    async def run(self, task_status: trio.TaskStatus[FleetTask] = trio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled; OSError when the address can't be had."""
        between, terms = self._between, self._terms
        socket = self._surroundings.datagrams(between.listen)
        try:
            phase, digest = self._facts()
            mine = MemberRecord(
                name=terms.name,
                region=terms.region,
                place=terms.place,
                address=between.advertise or socket.address,
                generation=self._surroundings.wall() // 1_000_000,
                incarnation=self._life,
                version=self._version,
                config_digest=digest,
                phase=phase,
            )
            rules = MembershipConfig(probe_period=between.period, gone_retention=between.remembers)
            self.core = Membership(mine, rules, self._draw, self._now(), between.seeds)
            self._log.info(
                "between", address=socket.address, advertised=mine.address, life=f"{mine.incarnation:016x}"
            )
            task_status.started(self)
            await self._serve(socket, self.core)
        finally:
            socket.close()
            self.ended.set()

    async def _serve(self, socket: Datagrams, core: Membership) -> None:
        while not self._leaves:
            now = self._now()
            wait = min(max(0.0, (core.next_timer - now) / 1e9), LOOK_S)
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
            core.update_facts(now, phase, digest)
            # A flood must not keep what is due from being done, nor a stop make it look due: read first, then
            # see how late it is.
            if core.next_timer <= now:
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
        message = self._opener.open(data)
        if message is None:
            self._drops()
        elif isinstance(message, Query):
            self._show(socket, core, message, source)
        elif isinstance(message, Count):
            told = msgspec.structs.replace(self._tell_counts(), life=self._life, trust=core.view_health.value)
            head = core.own_record.name, core.own_record.incarnation, core.view.digest
            self._put(socket, source, Counted(*head, message.nonce, told))
        elif not isinstance(message, Shown | Counted):
            self.counts["heard"] += 1
            core.receive(self._now(), source, message)

    def _drops(self) -> None:
        for version in self._opener.strange:
            self._log.warning("version-unknown", version=version)
        self._opener.strange.clear()
        now = trio.current_time()
        if now - self._drops_told_at >= DROPS_TOLD_S:
            self._drops_told_at = now
            self._log.warning("datagrams-dropped", **self._opener.dropped)

    def _show(self, socket: Datagrams, core: Membership, query: Query, source: str) -> None:
        now = self._now()
        pages = pages_of(rows_of(core, now))
        if 0 <= query.page < len(pages):
            first = query.page == 0
            counts = {f"dropped-{why}": n for why, n in self._opener.dropped.items()} | dict(self.counts)
            shown = Shown(
                core.own_record.name,
                core.own_record.incarnation,
                core.view.digest,
                query.nonce,
                query.page,
                len(pages),
                core.view_health.value,
                counts if first else {},
                pages[query.page],
            )
            self._put(socket, source, shown)

    def _put(self, socket: Datagrams, address: str, message: Any) -> None:
        try:
            data = self._seal.seal(message)
        except TooLongError as error:
            self.counts["too-long"] += 1
            self._log.error("message-too-long", why=str(error), most=MOST)
            return
        self.counts["sent"] += 1
        self.counts["sent-bytes"] += len(data)
        if not socket.send(data, address):
            self.counts["not-sent"] += 1

    def _flush(self, socket: Datagrams, core: Membership) -> None:
        for event in core.take_events():
            self._tell(core, event)
        for address, message in core.take_outbox():
            self._put(socket, address, message)

    def _tell(self, core: Membership, event: MembershipEvent) -> None:
        kind = event.kind.value
        self.counts[kind] += 1
        self._watch(event)
        about = event.record
        level = LEVELS.get(kind, "info")
        getattr(self._log, level)(
            f"member-{kind}" if about.incarnation != core.own_record.incarnation else f"view-{kind}",
            member=about.name,
            life=f"{about.incarnation:016x}",
            number=about.generation,
            address=about.address,
            by=event.source,
            digest=f"{core.view.digest:016x}",
            members=core.view.live_count,
        )

    def _look_at_size(self, core: Membership) -> None:
        """Told once for each size that it settles on, whether or not it was unsettled in between."""
        members = core.view.live_count
        if core.view_health is not ViewHealth.SETTLED or members == self._told_size:
            return
        self._told_size = members
        by_terms = self._terms.deployment.edge_proxies
        if members != by_terms:
            self.counts["size-differs"] += 1
            self._log.warning("fleet-size-differs", members=members, edge_proxies=by_terms)
