"""The table of accepted dialogs; sends each dialog's one final answer and ends it."""

from __future__ import annotations

from dataclasses import dataclass

from valverouter.edge.caller import CallerConnection
from valverouter.edge.context import ProxyContext
from valverouter.edge.link import ServerLink
from valverouter.edge.reload import ConfigReloader
from valverouter.signalling import setup

# The reasons for which an established dialog may end; any other reason from a server counts as `otherwise`.
END_REASONS = ("over", "released", "cut")

FinalAnswer = setup.Rejected | setup.Failed | setup.Established


@dataclass(slots=True)
class DialogEntry:
    """A dialog accepted here. `deadline` is the caller's; the driver gets a slightly earlier one.

    `attempt` is the number of the attempt in flight or established on `link`; None between attempts.
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
    """All open and established dialogs, by id in `entries`; a dialog is removed when it ends."""

    def __init__(self, context: ProxyContext, reloader: ConfigReloader) -> None:
        """`reloader` is notified of each final answer, for its change guard."""
        self.entries: dict[str, DialogEntry] = {}
        self._context = context
        self._counters = context.counters
        self._log = context.log
        self._reloader = reloader

    @property
    def open_count(self) -> int:
        """The number of dialogs that have not been sent their final answer."""
        return sum(not entry.is_established for entry in self.entries.values())

    @property
    def established_count(self) -> int:
        """The number of established dialogs."""
        return sum(entry.is_established for entry in self.entries.values())

    def accept(self, entry: DialogEntry) -> None:
        """Accepts a dialog, which must be given a final answer from here on."""
        self.add(entry)

    def add(self, entry: DialogEntry) -> None:
        """Adds a dialog to the table and to its caller."""
        self.entries[entry.setup.dialog] = entry
        entry.caller.dialogs.add(entry.setup.dialog)

    def answer(self, entry: DialogEntry, message: FinalAnswer) -> None:
        """Sends a dialog's one final answer.

        After the caller's deadline an established leg is released.
        """
        if late := self._context.now >= entry.deadline:
            kind = self._answer_late(entry, message)
        else:
            kind = message.answer_name
            entry.caller.send(message)
        self._count_answer(entry, message, kind)
        if isinstance(message, setup.Established):
            if not late:
                entry.is_established = True
                return
            self.release(entry)
        self.remove(entry)

    def _answer_late(self, entry: DialogEntry, message: FinalAnswer) -> str:
        """Withholds an answer after the caller's deadline; returns the kind of answer to count.

        The caller no longer waits for it and may have redialled.
        """
        self._counters.withheld += 1
        self._log.warning("answer-withheld", dialog=message.dialog, answer=message.answer_name)
        entry.caller.expire(message.dialog, message.leg)
        return f"{message.answer_name}-withheld"

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
        """Whether the dialog was established later than its traffic type's latency objective allows."""
        traffic_type = self._context.config.deployment.traffic_types.get(entry.setup.traffic_type)
        if traffic_type is None:
            return False
        accepted_at = entry.deadline - entry.setup.time_left
        return self._context.now - accepted_at > traffic_type.latency_objective

    def release(self, entry: DialogEntry) -> None:
        """Asks the server to release an established dialog, at most once.

        A caller may send Release and then disconnect before the server's Ended arrives.
        """
        link, dialog_id = entry.link, entry.setup.dialog
        if link is None or entry.attempt is None or entry.is_released:
            return
        entry.is_released = True
        key = dialog_id, entry.attempt
        if key in link.attempts and not link.has_closed(key):
            link.send(setup.Release(dialog_id, entry.attempt))

    def end(self, entry: DialogEntry, reason: str) -> None:
        """Ends an established dialog and sends Ended to its caller."""
        entry.caller.send(setup.Ended(entry.setup.dialog, entry.setup.leg, reason))
        self._counters.answers[f"ended-{reason if reason in END_REASONS else 'otherwise'}"] += 1
        self.remove(entry)

    def remove(self, entry: DialogEntry) -> None:
        """Removes a dialog that has ended from the table and from its caller."""
        del self.entries[entry.setup.dialog]
        entry.caller.dialogs.discard(entry.setup.dialog)
