"""The dialogs that an edge proxy has accepted: their table, their one final answer, and their end."""

from __future__ import annotations

from dataclasses import dataclass

from valverouter.edge.caller import CallerConnection
from valverouter.edge.context import ProxyContext
from valverouter.edge.link import ServerLink
from valverouter.edge.reload import ConfigReloader
from valverouter.signalling import setup

# How an established dialog may end; a server's other reasons are counted as one.
END_REASONS = ("over", "released", "cut")

FinalAnswer = setup.Rejected | setup.Failed | setup.Established


@dataclass(slots=True)
class DialogEntry:
    """A dialog accepted here; the decisions are told of a deadline a little before `deadline`, its caller's.

    `attempt` numbers the one in flight or established, on `link`; None: between two attempts.
    """

    setup: setup.Setup
    caller: CallerConnection
    deadline: int
    attempt: int | None = None
    link: ServerLink | None = None
    attempts_started: int = 0
    is_established: bool = False
    is_released: bool = False
    generation: int = 1


class DialogTable:
    """Every dialog here, open or established, by its id in `entries`; each leaves with its end."""

    def __init__(self, context: ProxyContext, reloader: ConfigReloader) -> None:
        """`reloader` hears of each final answer, for its change guard."""
        self.entries: dict[str, DialogEntry] = {}
        self._context = context
        self._counters = context.counters
        self._log = context.log
        self._reloader = reloader

    @property
    def open_count(self) -> int:
        """Dialogs whose final answer is still owed."""
        return sum(not entry.is_established for entry in self.entries.values())

    @property
    def established_count(self) -> int:
        """Dialogs that are established and have not ended."""
        return sum(entry.is_established for entry in self.entries.values())

    def accept(self, entry: DialogEntry) -> None:
        """A dialog is owed an answer from here on."""
        self.add(entry)

    def add(self, entry: DialogEntry) -> None:
        """Puts a dialog into the table."""
        self.entries[entry.setup.dialog] = entry
        entry.caller.dialogs.add(entry.setup.dialog)

    def answer(self, entry: DialogEntry, message: FinalAnswer) -> None:
        """Sends the one final answer.

        Past the caller's time none is sent: it waits no longer, and may have dialled again.
        """
        kind = message.answer_name
        if late := self._context.now >= entry.deadline:
            self._counters.withheld += 1
            self._log.warning("answer-withheld", dialog=message.dialog, answer=kind)
            kind = f"{kind}-withheld"
            entry.caller.expire(message.dialog, message.leg)
        else:
            entry.caller.send(message)
        self._count_answer(entry, message, kind)
        if isinstance(message, setup.Established):
            if not late:
                entry.is_established = True
                return
            self.release(entry)
        self.remove(entry)

    def _count_answer(self, entry: DialogEntry, message: FinalAnswer, kind: str) -> None:
        self._counters.answers[kind] += 1
        if isinstance(message, setup.Established):
            self._counters.late += self._is_late(entry)
        self._log.debug(
            "dialog-answered",
            dialog=message.dialog,
            answer=kind,
            legs=entry.attempts_started,
            generation=entry.generation,
        )
        is_rejected = isinstance(message, setup.Rejected)
        self._reloader.on_final_answer(entry.setup.traffic_type, is_rejected, entry.attempts_started)

    def _is_late(self, entry: DialogEntry) -> bool:
        """Whether it was established after the latency objective of its traffic type."""
        traffic_type = self._context.config.deployment.traffic_types.get(entry.setup.traffic_type)
        if traffic_type is None:
            return False
        accepted_at = entry.deadline - entry.setup.time_left
        return self._context.now - accepted_at > traffic_type.latency_objective

    def release(self, entry: DialogEntry) -> None:
        """Tells the server to release an established dialog.

        Once: a caller may release, and then its connection may go before the server's Ended comes.
        """
        link, dialog_id = entry.link, entry.setup.dialog
        if link is None or entry.attempt is None or entry.is_released:
            return
        entry.is_released = True
        key = dialog_id, entry.attempt
        if key in link.attempts and not link.has_closed(key):
            link.send(setup.Release(dialog_id, entry.attempt))

    def end(self, entry: DialogEntry, reason: str) -> None:
        """An established dialog has ended; its caller is told."""
        entry.caller.send(setup.Ended(entry.setup.dialog, entry.setup.leg, reason))
        self._counters.answers[f"ended-{reason if reason in END_REASONS else 'otherwise'}"] += 1
        self.remove(entry)

    def remove(self, entry: DialogEntry) -> None:
        """Nothing more is owed for a dialog."""
        del self.entries[entry.setup.dialog]
        entry.caller.dialogs.discard(entry.setup.dialog)
