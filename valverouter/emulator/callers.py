"""Emulated callers of one edge proxy: they dial, cancel and redial, and record messages as the fakes do."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec.structs import replace

from valverouter.config.scenario_sections import CallerConfig
from valverouter.emulator.edge_model import CallerMessage, DialogRequest
from valverouter.emulator.edges import EmulatedEdge
from valverouter.emulator.servers import EndReason
from valverouter.emulator.simulation import RandomStream, Simulation
from valverouter.signalling.traffic_record import ConnectionLostRow, MessageRow, TrafficRecorder

# Delay until a lost connection is re-established, ns.
RECONNECT_DELAY = 50_000_000


@dataclass(slots=True)
class _DialAttempt:
    """One dialled dialog.

    `first_dialog` is the dialog id of the call's first attempt; `number` counts the call's attempts from 1.
    """

    request: DialogRequest
    first_dialog: str
    number: int
    is_established: bool = False


class EmulatedCallers:
    """The callers of one edge proxy.

    `attempts`: unanswered and established dialogs by id; an entry is removed when its dialog ends.
    `abandon_fraction`: the fraction of the no-answer timeout after which a caller cancels.
    """

    def __init__(
        self,
        edge: EmulatedEdge,
        behavior: CallerConfig,
        sim: Simulation,
        recorder: TrafficRecorder,
        random: RandomStream,
    ) -> None:
        self.fleet_index = edge.plan.fleet_index
        self.name = f"c{self.fleet_index}"
        self.attempts: dict[str, _DialAttempt] = {}
        self.abandon_fraction = behavior.patience
        self.unreachable_count = 0
        self._edge = edge
        self._behavior = behavior
        self._sim = sim
        self._recorder = recorder
        self._random = random
        self._last_serial = 0
        self._reconnects_at = 0
        edge.attach(self)

    @property
    def is_waiting(self) -> bool:
        """Whether any dialog is unanswered."""
        return any(not attempt.is_established for attempt in self.attempts.values())

    def _record(self, is_sent: bool, kind: str, dialog_id: str, duration: int = 0, details: str = "") -> None:
        rows, now, edge = self._recorder.rows, self._sim.now(), self._edge.name
        rows.append(
            MessageRow(len(rows), now, edge, self.name, is_sent, kind, dialog_id, 0, duration, details)
        )

    # Dialing

    def dial(self, request: DialogRequest, first_dialog: str = "", number: int = 1) -> None:
        """Dials now under a new dialog id; a redial passes the id of the call's first dialog."""
        self._last_serial += 1
        dialog_id = f"{first_dialog}.{number}" if first_dialog else f"{self.name}-{self._last_serial}"
        request = replace(request, dialog_id=dialog_id)
        attempt = self.attempts[dialog_id] = _DialAttempt(request, first_dialog or dialog_id, number)
        if not self._edge.is_running or self._sim.now() < self._reconnects_at:
            self.unreachable_count += 1
            self._close(dialog_id, may_redial=True)
            return
        no_answer_timeout = request.no_answer_timeout
        self._record(True, "setup", dialog_id, no_answer_timeout, request.traffic_type)
        abandon_delay = int(no_answer_timeout * self.abandon_fraction)
        if abandon_delay < no_answer_timeout:
            self._sim.call_after(abandon_delay, self._on_abandon_due, dialog_id, attempt)
        self._sim.call_after(no_answer_timeout, self._on_timeout, dialog_id, attempt)
        self._edge.accept(request)

    def _is_unanswered(self, dialog_id: str, attempt: _DialAttempt) -> bool:
        return self.attempts.get(dialog_id) is attempt and not attempt.is_established

    def _on_abandon_due(self, dialog_id: str, attempt: _DialAttempt) -> None:
        if self._is_unanswered(dialog_id, attempt):
            if not self._edge.is_running:
                self._close(dialog_id, may_redial=True)
                return
            self._record(True, "cancel", dialog_id)
            self._edge.cancel(dialog_id)

    def _on_timeout(self, dialog_id: str, attempt: _DialAttempt) -> None:
        if self._is_unanswered(dialog_id, attempt):
            self._close(dialog_id, may_redial=True)

    def _close(self, dialog_id: str, may_redial: bool, min_delay: int = 0) -> None:
        attempt = self.attempts.pop(dialog_id)
        if not may_redial or attempt.number > self._behavior.redials:
            return
        delay = min_delay or int(self._behavior.redial_wait * (0.5 + self._random.random()))
        request = replace(attempt.request, was_interrupted=attempt.is_established)
        self._sim.call_after(delay, self.dial, request, attempt.first_dialog, attempt.number + 1)

    # Messages from the edge proxy

    def on_message(
        self, message: CallerMessage, dialog_id: str, retry_after: int = 0, details: str = ""
    ) -> None:
        """Handles an answer or the end of a dialog.

        A rejected caller redials after `retry_after` ns if a random draw decides that it complies, else after
        its own redial delay.
        """
        self._record(False, message.value, dialog_id, retry_after, details)
        attempt = self.attempts.get(dialog_id)
        if attempt is None:
            return
        if message is CallerMessage.ESTABLISHED:
            attempt.is_established = True
        elif message is CallerMessage.REJECTED:
            complies = self._random.random() < self._behavior.heeds
            self._close(dialog_id, may_redial=True, min_delay=retry_after if complies else 0)
        else:
            was_interrupted = details == EndReason.INTERRUPTED.value
            self._close(dialog_id, may_redial=message is CallerMessage.FAILED or was_interrupted)

    def on_connection_lost(self) -> None:
        """Handles the end of the edge proxy's process: all dialogs are lost and may be redialled."""
        self._recorder.record(ConnectionLostRow, edge=self._edge.name, peer=self.name)
        self._reconnects_at = self._sim.now() + RECONNECT_DELAY
        for dialog_id in list(self.attempts):
            self._close(dialog_id, may_redial=True)

    def on_restart_expected(self) -> None:
        """Handles the end of the edge proxy's process when the next one recovers the dialogs."""
        self._recorder.record(ConnectionLostRow, edge=self._edge.name, peer=self.name)
        self._reconnects_at = self._sim.now() + RECONNECT_DELAY
        self._sim.call_after(RECONNECT_DELAY, self._reconnect)

    def _reconnect(self) -> None:
        if not self._edge.is_running:
            self._sim.call_after(RECONNECT_DELAY, self._reconnect)
            return
        for dialog_id in list(self.attempts):
            self._record(True, "resume", dialog_id)
            self._edge.resume(dialog_id)
