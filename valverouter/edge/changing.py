"""Terms that change while an edge proxy runs: what acts, what came before it, and the way back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from valverouter.attempts.change_guard import ChangeGuard
from valverouter.driver import Driver
from valverouter.edge.attempting import AttemptBook
from valverouter.edge.books import Taken
from valverouter.edge.clock import Clock
from valverouter.edge.events import Reload
from valverouter.policy.retry import DEFAULT_RETRY_BUDGET
from valverouter.regions.cross_region_limiter import CrossRegionLimiter
from valverouter.terms.edge import EdgeTerms
from valverouter.terms.ini import END

log = structlog.get_logger()


class TermsInForce:
    """The terms that act in one instance, its Driver that decides by them, and the guard over a change."""

    def __init__(self, terms: EdgeTerms, wall: int) -> None:
        self.terms = terms
        self._log = log.bind(edge=terms.name)
        self._clock = Clock(wall)
        self._attempts = AttemptBook(terms) if terms.attempts else None
        self.generation = 1
        self._guard = ChangeGuard()
        # The terms before the last change, for as long as the guard may go back to them.
        self._former: EdgeTerms | None = None
        self._now = self._clock.now()
        self.crossing = CrossRegionLimiter(terms.crossing, self._now) if terms.crossing else None
        self._driver = Driver(terms.deployment, terms.seed, self._now, self.crossing)

    def _guarded(self, dialog_id: str, act: Callable[..., None], *args: Any) -> bool:
        """Runs the decisions, with whatever they raise held to the dialog that it is about."""
        raise NotImplementedError

    def book_of(self, terms: EdgeTerms) -> AttemptBook | None:
        return AttemptBook(self._kept(terms)) if terms.attempts else None

    def _kept(self, new: EdgeTerms) -> EdgeTerms:
        """The present terms with what of the new ones may change while running."""
        return msgspec.structs.replace(
            self.terms, crossing=new.crossing, attempts=new.attempts, ends=new.ends, digest=new.digest
        )

    def _reload(self, event: Reload, back: bool = False) -> None:
        new, old = event.terms, self.terms
        if old.ends and not new.ends:
            # A file cut off at a line's end may pass every check, with half of its sections.
            self.refuse_reload(event.file, f"the file was cut off: its last line is not {END!r}")
            return
        keeps = self._kept(new)
        changes = [name for name in old.__struct_fields__ if getattr(keeps, name) != getattr(new, name)]
        try:
            # Dialogs under way carry the attempt terms that they began with; the book is for those to come.
            attempts = event.book or self.book_of(new)
            if self.crossing is not None and new.crossing is not None:
                self.crossing.reconfigure(new.crossing, self._now)
        except Exception as error:  # flaws, and memory that runs out on the way
            self.refuse_reload(event.file, str(error) or type(error).__name__)
            return
        self._attempts, self.terms = attempts, keeps
        self._tell_budgets()
        self._former = None if back else old
        self.generation += 1
        self._guard.on_change(self._now, observe=not back)
        if (self.crossing is None) != (new.crossing is None):
            changes.append("crossing")
        self._log.info(
            "reloaded", generation=self.generation, file=event.file, back=back, waits_for_a_start=changes
        )

    def refuse_reload(self, file: str, why: str, **more: Any) -> None:
        """Tells of terms that do not act, and which go on acting."""
        self._log.error("reload-refused", generation=self.generation, file=file, why=why, **more)

    def _tell_budgets(self) -> None:
        book = self._attempts
        if book is None:
            self._guarded("", self._driver.set_retry_budgets, {}, DEFAULT_RETRY_BUDGET)
        else:
            self._guarded("", self._driver.set_retry_budgets, book.budgets(), book.budget_elsewhere())

    def _judge(self, taken: Taken, declined: bool) -> None:
        """Tells the guard of a final answer; where a change harms, says so, and goes back if the terms
        allow."""
        if taken.setup.traffic_type not in self.terms.deployment.traffic_types:
            return  # a caller's own word; counted, each would stay
        regression = self._guard.on_final_answer(self._now, taken.setup.traffic_type, declined, taken.legs)
        if regression is None:
            return
        self._log.error(
            "terms-harm",
            generation=self.generation,
            traffic_type=regression.traffic_type,
            what=regression.metric,
            before=regression.before,
            after=regression.after,
            dialogs=regression.dialogs,
        )
        if self._former is not None and self.terms.returns:
            self._reload(Reload(self._former), back=True)
