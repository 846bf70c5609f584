"""The table of dialogs with records in the recovery log."""

from __future__ import annotations

from valverouter.edge.caller import DetachedCaller
from valverouter.edge.context import ProxyContext
from valverouter.edge.dialogs import DialogEntry, DialogTable, FinalAnswer
from valverouter.edge.recovery_state import RecoveryState
from valverouter.edge.reload import ConfigReloader
from valverouter.edge.sent_ends import SentEnd
from valverouter.recovery.plan import RecoveryAction
from valverouter.signalling import setup


class ResumableDialogs(DialogTable):
    """A dialog table that keeps each dialog's record up to date."""

    def __init__(self, context: ProxyContext, reloader: ConfigReloader, state: RecoveryState) -> None:
        """`state` holds the records."""
        super().__init__(context, reloader)
        self._state = state

    def accept(self, entry: DialogEntry) -> None:
        """Accepts a dialog and records that its caller is owed an answer."""
        super().accept(entry)
        now = self._context.now
        self._state.log.on_accepted(entry.setup, entry.caller.name, entry.deadline - now, now)

    def answer(self, entry: DialogEntry, message: FinalAnswer) -> None:
        """Records an answer that ends the dialog, for a caller that resumes it later; sends the answer."""
        if self._context.now < entry.deadline and not isinstance(message, setup.Established):
            retry_after = message.retry_after if isinstance(message, setup.Rejected) else 0
            kind = message.answer_name
            self._state.log.on_answered(message.dialog, kind, retry_after, entry.deadline)
        super().answer(entry, message)

    def end(self, entry: DialogEntry, reason: str) -> None:
        """Ends a dialog; if its caller is disconnected, stores the reason until it resumes the dialog.

        A caller that was answered Unknown instead would dial again. Its connection may also be lost before it
        has received the end, so the reason is kept in any case.
        """
        dialog_id = entry.setup.dialog
        if isinstance(entry.caller, DetachedCaller) and reason != "released":
            self._state.unreported_ends[dialog_id], entry.attempt = reason, None
            self._state.pending[dialog_id] = RecoveryAction.RESEND_ANSWER_AND_END
            return
        if entry.caller.can_resume:
            server = entry.link.server if entry.link is not None else ""
            end = SentEnd(entry.caller.name, server, reason, self._context.now)
            self._state.sent_ends.add(dialog_id, end)
        super().end(entry, reason)

    def remove(self, entry: DialogEntry) -> None:
        """Removes a dialog that needs no further message, together with its recovery state."""
        super().remove(entry)
        dialog_id = entry.setup.dialog
        self._state.log.on_dialog_closed(dialog_id)
        self._state.pending.pop(dialog_id, None)
        self._state.unreported_ends.pop(dialog_id, None)
