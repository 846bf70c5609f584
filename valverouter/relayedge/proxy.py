"""The edge proxy behind the platform's protocol: what differs is who owns what stands, and where word comes
from and goes to. Turns, books and rules are `EdgeProxy`'s, decisions the module's."""

from __future__ import annotations

import msgspec
import structlog
import trio

from valverouter.edge.books import Taken
from valverouter.edge.events import CallerLost, ListHeard
from valverouter.edge.links import Link
from valverouter.edge.listener import Caller
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.surroundings import Surroundings
from valverouter.relayedge.buslink import BusLink
from valverouter.relayedge.callers import AnsweredIds, Connected, RelayCaller, Seldom, ToldStanding
from valverouter.relayedge.links import RelayLink, UnknownEnds
from valverouter.signalling import setup
from valverouter.terms.options import MalformedInputError
from valverouter.terms.platform import Platform

log = structlog.get_logger()

# For so long an end that found no caller's connection is kept for the next one.
UNTOLD_S = 8.0


class RelayProxy(EdgeProxy):
    """An instance on the platform. Beside `EdgeProxy`'s tables: the callers connected, and ends not told."""

    def __init__(self, platform: Platform, surroundings: Surroundings) -> None:
        self._platform = platform
        self._ends = UnknownEnds()
        self._answered_ids = AnsweredIds()
        self._seldom = Seldom()
        self._connected = Connected()
        # Ends that no connection was there for; emptied by the next connection, and by time.
        self._untold: list[tuple[float, setup.Ended]] = []
        super().__init__(platform.terms, surroundings)
        self._handlers[ToldStanding] = self._told_standing
        self._log.info("started", limits=msgspec.structs.asdict(platform.limits), seed=platform.terms.seed)

    def reconfigure(self, platform: Platform) -> None:
        """A new configuration: the event bus's address and events act, all else waits for a new start.

        MalformedInputError, and nothing of it acts, where it is another edge proxy's.
        """
        if platform.terms.name != self.terms.name:
            raise MalformedInputError(f"name: {platform.terms.name!r}, this is {self.terms.name!r}")
        assert isinstance(self._list, BusLink)
        self._list.learn(platform.known)
        self._list.move(platform.terms.list_service)
        self._log.info("reconfigured", bus=platform.terms.list_service)

    # The seams

    def _make_list(self) -> BusLink:
        return BusLink(self.terms.list_service, self._platform.known, self._surroundings, self._inbox)

    def _make_link(self, server: str, address: str) -> Link:
        return RelayLink(
            server,
            address,
            self.terms.links,
            self._surroundings,
            self._inbox,
            self._wait,
            self._departures,
            self._ends,
        )

    @property
    def _is_done(self) -> bool:
        # Ends are passed on as long as that is possible.
        return not self._dialogs

    @property
    def _is_quiet(self) -> bool:
        # A request that the kernel has taken for us is taken: ended with it unread, it would be lost.
        return super()._is_quiet and self._connected.all_quiet()

    async def _talk(self, stream: trio.abc.Stream) -> None:
        caller = RelayCaller(
            stream,
            self.terms.links,
            self._inbox,
            self._departures,
            self._clock,
            self.terms.deployment,
            self._platform.widths,
            lambda: not self._stopping,
            self._connected,
            self._answered_ids,
            self._seldom,
        )
        self._connected.heard(caller)
        if self._untold:
            untold, self._untold = self._untold, []
            since = trio.current_time() - UNTOLD_S
            for at, ended in untold:
                if at >= since:
                    caller.send(ended)
        try:
            await caller.run()
        finally:
            self._connected.drop(caller)

    def _makes_room(self) -> bool:
        """One that has said nothing of use makes way, then the one idle for longest. Who comes may be a good
        caller that asks at once: closed in its stead, its set-up would be lost."""
        self._seldom.tell("no-room", f"{self._callers} connections")
        caller = self._connected.idle()
        if caller is None:
            return False
        caller.close()
        return True

    def _listed(self, heard: ListHeard) -> None:
        for row in heard.rows:
            before = self._incarnations.incarnation(row.server)
            link = self._links.get(row.server)
            if isinstance(link, RelayLink) and before is not None and before < row.incarnation:
                # Another process under that name: it knows nothing of what stood at the one before.
                link.restarted(row.incarnation * 10**6)
        super()._listed(heard)
        # While the list was away callers may have taken the descriptors that its servers need now.
        for _ in range(self._connected.many - self._callers_most):
            if not self._makes_room():
                break

    async def _refuse(self, stream: trio.abc.Stream) -> None:
        self._refused += 1
        self._makes_room()
        await trio.aclose_forcefully(stream)

    def _forget(self, taken: Taken) -> None:
        super()._forget(taken)
        self._answered_ids.add(taken.setup.dialog)

    # Dialogs that stand belong to no connection

    def _caller_lost(self, event: CallerLost) -> None:
        for dialog_id in list(event.caller.dialogs):
            if not self._dialogs[dialog_id].stands:
                self._drop(dialog_id, "caller-gone")

    def _leaves(self, caller: Caller, message: setup.OfLeg) -> None:
        """A set-up is given up by the connection that it came on; what stands is ended from any."""
        taken = self._dialogs.get(message.dialog)
        if taken is None:
            return
        if taken.stands:
            self._release(taken)
            self._forget(taken)
        elif taken.caller is caller:
            self._drop(message.dialog, "cancelled")

    def _drop(self, dialog_id: str, reason: str) -> None:
        taken = self._dialogs[dialog_id]
        if taken.stands and reason == "stopping":
            # It goes on without us: its caller tells our successor of it.
            self._forget(taken)
            return
        super()._drop(dialog_id, reason)

    def _over(self, taken: Taken, reason: str) -> None:
        self._tell_end(taken.caller, setup.Ended(taken.setup.dialog, 0, reason))
        self.tally.answers[f"ended-{reason}"] += 1
        self._forget(taken)

    def _tell_end(self, caller: Caller, ended: setup.Ended) -> None:
        assert isinstance(caller, RelayCaller)
        if caller.is_lost:
            latest = self._connected.latest()
            if latest is None:
                now = trio.current_time()
                self._untold = [(at, one) for at, one in self._untold if at >= now - UNTOLD_S]
                self._untold.append((now, ended))
                return
            caller = latest
        caller.send(ended)

    def _told_standing(self, told: ToldStanding) -> None:
        asked, server = told.stood.asked, told.stood.server
        if asked.dialog in self._dialogs:
            return
        link = self._links.get(server)
        cut = self._ends.take(asked.dialog)
        if cut is not None or not isinstance(link, RelayLink) or link.ended:
            # It has ended while nobody was here, or its server is gone and has cut it.
            told.caller.send(setup.Ended(asked.dialog, 0, "over" if cut is False else "cut"))
            return
        if len(self._dialogs) >= self.terms.links.open_dialogs:
            return
        link.stands((asked.dialog, 0))
        # No description is needed any more; it would stay for as long as the dialog stands.
        asked = msgspec.structs.replace(asked, description="")
        self._dialogs[asked.dialog] = Taken(asked, told.caller, 0, leg=0, link=link, legs=1, stands=True)

    def _unwant(self, server: str, gone: bool) -> None:
        super()._unwant(server, gone)
        if gone and (link := self._links.get(server)) is not None:
            link.give_up("gone")
