"""Model of a signalling server: one processor with a queue, lines, slow start and faults.

The model reads no clock, does not sleep and draws no random numbers by itself: its user passes `now` (integer
nanoseconds), queries the time of the next event with `next_event_at` and fetches events with `advance`. The
fake servers run it on sockets, the emulator in simulated time.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container

from valverouter.servermodel.events import LegKey, ServerCounters, ServerEvent, ServerEventKind
from valverouter.servermodel.faults import ServerFaults
from valverouter.servermodel.legs import Leg, LegStage, Timer, TimerKind, TimerQueue
from valverouter.servermodel.lines import CalledNumbers, LinePool
from valverouter.servermodel.processor import SETUP_KINDS, Job, Processor, WorkKind
from valverouter.servermodel.profile import ServerProfile
from valverouter.servermodel.slow_start import SlowStart


class SetupServer:
    """One server. `legs` holds its open legs; a closing event, a crash or a lost connection removes them.

    `draw` returns random numbers uniformly from [0, 1). `crashed_by_overload`: the process crashed by
    overload in its slow start; such a server can't be started again.
    """

    def __init__(
        self, profile: ServerProfile, draw: Callable[[], float], called_numbers: CalledNumbers | None = None
    ) -> None:
        self.profile = profile
        self.draw = draw
        self.is_running = True
        self.crashed_by_overload = False
        self.legs: dict[LegKey, Leg] = {}
        self.counters = ServerCounters()
        self._faults = ServerFaults()
        self._slow_start = SlowStart(profile)
        self._lines = LinePool(profile.lines, CalledNumbers() if called_numbers is None else called_numbers)
        self._processor = Processor(
            self.counters, self.processor_speed, self._is_obsolete, profile.prioritizes_setups
        )
        self._timers = TimerQueue()
        self._events: list[ServerEvent] = []
        self._leg_count = 0

    # Time

    def next_event_at(self) -> int | None:
        """Returns when `advance` has to be called next, ns; None: not before another method is called."""
        timer_at, finishes_at = self._timers.next_at, self._processor.finishes_at
        if timer_at is None or finishes_at is None:
            return finishes_at if timer_at is None else timer_at
        return min(timer_at, finishes_at)

    def advance(self, now: int) -> list[ServerEvent]:
        """Advances the model to `now`; removes and returns the events since the last call, in order."""
        while (at := self.next_event_at()) is not None and at <= now:
            if self._timers.next_at == at:
                self._on_timer(at, self._timers.pop())
            else:
                self._on_job_done(at, self._processor.take_finished())
                self._processor.start_next(at)
        events, self._events = self._events, []
        return events

    def _on_timer(self, now: int, timer: Timer) -> None:
        leg = self.legs.get(timer.key)
        if leg is None or leg.serial != timer.leg_serial:
            return
        match timer.kind:
            case TimerKind.ANSWER if leg.stage is LegStage.RINGING:
                self._answer(now, timer.key, leg)
            case TimerKind.HANG_UP:
                self.release(now, timer.key)
            case TimerKind.RETRANSMIT if leg.stage is LegStage.QUEUED:
                self._retransmit(now, timer.key, leg)

    def _on_job_done(self, now: int, job: Job) -> None:
        leg = self.legs.get(job.key) if job.key is not None else None
        if leg is None or leg.serial != job.leg_serial or job.key is None:
            self.counters.wasted_work += job.cost
            return
        match job.kind:
            case WorkKind.SETUP if leg.stage is LegStage.QUEUED:
                self._on_setup_processed(now, job.key, leg)
            case WorkKind.ANSWER if leg.stage is LegStage.RINGING:
                self._on_answer_processed(now, job.key, leg)
            case WorkKind.RELEASE if leg.stage is LegStage.ENDING:
                self._close(now, job.key, ServerEventKind.ENDED)
            case WorkKind.RETRANSMIT:
                self.counters.wasted_work += job.cost

    # Legs

    def setup(self, now: int, key: LegKey, number: int, duration: int) -> None:
        """Handles a set-up of a dialog that lasts `duration` ns; ignored if the server is not running."""
        if not self.is_running:
            return
        self.counters.setups += 1
        if self._slow_start.add_setup(now):
            self.crashed_by_overload = True
            self.crash(now)
            return
        queue_delay = self.queue_delay(now)
        if queue_delay > self.profile.max_queue_delay:
            self._reject(now, key, queue_delay)
            return
        self._leg_count += 1
        leg = self.legs[key] = Leg(number, duration, self._leg_count)
        if self.profile.retransmit_interval:
            self._timers.set(now + self.profile.retransmit_interval, TimerKind.RETRANSMIT, key, leg.serial)
        self._processor.enqueue(now, Job(WorkKind.SETUP, key, self._draw_setup_work(), leg.serial))

    def _reject(self, now: int, key: LegKey, queue_delay: int) -> None:
        self.counters.rejected += 1
        retry_after = queue_delay if self.profile.sends_retry_after else 0
        self._events.append(ServerEvent(key, ServerEventKind.FULL, now, retry_after))
        self._processor.enqueue(now, Job(WorkKind.REJECT, None, self.profile.reject_work), at_front=True)

    def _draw_setup_work(self) -> int:
        work, random_fraction = self.profile.setup_work, self.profile.random_work_fraction
        if not random_fraction:
            return work
        drawn = -math.log(1 - self.draw())
        return max(1, int(work * (1 - random_fraction + random_fraction * drawn)))

    def _is_obsolete(self, job: Job) -> bool:
        """Returns whether a queued job is to be dropped because its leg was removed."""
        if not self.profile.drops_cancelled_setups or job.kind not in SETUP_KINDS or job.key is None:
            return False
        leg = self.legs.get(job.key)
        return leg is None or leg.serial != job.leg_serial

    def _retransmit(self, now: int, key: LegKey, leg: Leg) -> None:
        leg.retransmissions += 1
        self.counters.retransmissions += 1
        work = self.profile.retransmit_work
        self._processor.enqueue(now, Job(WorkKind.RETRANSMIT, key, work, leg.serial))
        next_at = now + (self.profile.retransmit_interval << leg.retransmissions)
        self._timers.set(next_at, TimerKind.RETRANSMIT, key, leg.serial)

    def _on_setup_processed(self, now: int, key: LegKey, leg: Leg) -> None:
        if (rejection := self._lines.acquire(leg.number)) is not None:
            self._close(now, key, rejection)
            return
        leg.holds_line = True
        leg.stage = LegStage.RINGING
        self._report(now, key, ServerEventKind.PROVISIONAL)
        if self.profile.ringing_duration:
            self._timers.set(now + self.profile.ringing_duration, TimerKind.ANSWER, key, leg.serial)
        else:
            self._answer(now, key, leg)

    def _answer(self, now: int, key: LegKey, leg: Leg) -> None:
        self._processor.enqueue(now, Job(WorkKind.ANSWER, key, self.profile.answer_work, leg.serial))

    def _on_answer_processed(self, now: int, key: LegKey, leg: Leg) -> None:
        if self.draw() < self._faults.answer_loss:
            return
        leg.stage, leg.was_established = LegStage.ESTABLISHED, True
        self.counters.established += 1
        self._report(now, key, ServerEventKind.ESTABLISHED)
        self._timers.set(now + leg.duration, TimerKind.HANG_UP, key, leg.serial)

    def cancel(self, now: int, key: LegKey) -> None:
        """Handles a cancel of the peer; a leg that is already established is released."""
        leg = self.legs.get(key)
        if leg is None:
            return
        if leg.stage is LegStage.ESTABLISHED:
            self.release(now, key)
        elif leg.stage is not LegStage.ENDING:
            was_ringing = leg.stage is LegStage.RINGING
            self._close(now, key, ServerEventKind.CANCELLED)
            if was_ringing:
                self._enqueue_release_of_removed(now)

    def release(self, now: int, key: LegKey) -> None:
        """Ends a leg if it is established."""
        leg = self.legs.get(key)
        if leg is not None and leg.stage is LegStage.ESTABLISHED:
            leg.stage = LegStage.ENDING
            self._processor.enqueue(now, Job(WorkKind.RELEASE, key, self.profile.release_work, leg.serial))

    def on_connection_lost(self, now: int, peer: str, retained: Container[LegKey] = ()) -> None:
        """Removes all legs of a peer whose connection was lost, except `retained` ones, without events."""
        for key in [key for key in self.legs if key[0] == peer and key not in retained]:
            self.abandon(now, key)

    def on_resume_request(self, now: int) -> None:
        """Handles a request to resume a leg of an earlier connection; it costs the work of a rejection."""
        self._processor.enqueue(now, Job(WorkKind.REJECT, None, self.profile.reject_work))

    def abandon(self, now: int, key: LegKey) -> None:
        """Removes a leg that its peer has abandoned, without an event."""
        if key in self.legs:
            self._remove(key)
            self._enqueue_release_of_removed(now)

    def _enqueue_release_of_removed(self, now: int) -> None:
        self._processor.enqueue(now, Job(WorkKind.RELEASE, None, self.profile.release_work))

    def _report(self, now: int, key: LegKey, kind: ServerEventKind) -> None:
        self._events.append(ServerEvent(key, kind, now))

    def _close(self, now: int, key: LegKey, kind: ServerEventKind) -> None:
        self._remove(key)
        self._report(now, key, kind)

    def _remove(self, key: LegKey) -> None:
        leg = self.legs.pop(key)
        if leg.holds_line:
            self._lines.release(leg.number)

    # Faults

    def set_slowdown(self, factor: float) -> None:
        """Sets the factor by which jobs take longer; 1: no slowdown."""
        self._faults.slowdown = factor

    def start_degrading(self, now: int, factor: float, duration: int) -> None:
        """Slows the server down linearly, by `factor` after `duration` ns; factor 1 ends the degradation."""
        faults = self._faults
        faults.degrading_since = now
        faults.degrading_factor = factor
        faults.degrading_duration = max(1, duration)

    def set_hung(self, now: int, is_hung: bool) -> None:
        """Sets whether the server hangs: it queues set-ups, but processes no jobs until the hang ends."""
        self._processor.set_hung(now, is_hung)

    def set_answer_loss(self, probability: float) -> None:
        """Sets the probability that an answer is lost."""
        self._faults.answer_loss = probability

    def limit_lines(self, now: int, fraction: float) -> None:
        """Reduces the usable lines to a fraction; interrupts randomly chosen dialogs that exceed them."""
        self._lines.available_fraction = fraction
        holding = [key for key, leg in self.legs.items() if leg.holds_line]
        while self._lines.held > self._lines.available and holding:
            self._interrupt(now, holding.pop(int(self.draw() * len(holding))))

    def interrupt_established(self, now: int, probability: float) -> None:
        """Interrupts each established leg with the given probability."""
        for key in [key for key, leg in self.legs.items() if leg.stage is LegStage.ESTABLISHED]:
            if self.draw() < probability:
                self._interrupt(now, key)

    def _interrupt(self, now: int, key: LegKey) -> None:
        self.counters.interrupted += 1
        was_established = self.legs[key].was_established
        self._close(now, key, ServerEventKind.INTERRUPTED if was_established else ServerEventKind.FAULT)

    def crash(self, now: int) -> None:
        """Ends the process and removes all its legs; the user of the model closes its connections."""
        self.is_running = False
        self.counters.interrupted += sum(leg.was_established for leg in self.legs.values())
        for key in list(self.legs):
            self._remove(key)
        self._processor.clear()
        self._timers.clear()
        self._events.clear()

    def start(self, now: int) -> None:
        """Starts a new process in slow start and without faults, unless the last one crashed by overload."""
        if self.crashed_by_overload:
            return
        self.crash(now)
        self.is_running = True
        self._slow_start.restart(now)
        self._processor.is_hung = False
        self._faults = ServerFaults()

    # Load

    @property
    def started_at(self) -> int:
        """The start time of the current process, ns."""
        return self._slow_start.started_at

    @property
    def slow_start_budget_used(self) -> float:
        """The highest work within an overload window in slow start, as a fraction of the crash limit."""
        return self._slow_start.budget_used

    @property
    def line_count(self) -> int:
        """The number of usable lines, held or free."""
        return self._lines.available

    @property
    def free_lines(self) -> int:
        """The number of lines available to new dialogs."""
        return self._lines.free

    @property
    def held_lines(self) -> int:
        """The number of lines in use."""
        return self._lines.held

    @property
    def queued_setups(self) -> int:
        """The number of set-ups that wait for the processor."""
        return self._processor.queued_setups

    def processor_speed(self, now: int) -> float:
        """Returns the speed as a fraction of the full speed, without faults and after slow start."""
        return self._slow_start.speed(now) / self._faults.slowdown_at(now)

    def queue_delay(self, now: int) -> int:
        """Returns how long a set-up that arrives now would wait for the processor, ns."""
        return self._processor.queue_delay(now)

    def utilization(self, now: int) -> float:
        """Returns the fraction of time that the processor was busy recently, 0 to 1."""
        return self._processor.utilization(now)
