"""An edge proxy that keeps what it owes over a restart, and over a caller's broken connection.

Beside `EdgeProxy`'s own books it moves a record for each dialog (`owed`), committed at the end of each turn,
before what the turn put out leaves. At its start it takes over what a former self left: what each dialog
needs is `valverouter.recovery.plan`'s to say, how fast servers are asked `pacing`'s. A dialog goes on once
its caller has come back for it; without, nobody would hear the answer.
"""

from __future__ import annotations

from typing import Any

from valverouter.edge.attempting import own_terms
from valverouter.edge.books import Taken
from valverouter.edge.events import CallerLost, FromCaller, LinkDown, LinkUp, Mend
from valverouter.edge.links import Link
from valverouter.edge.listener import Absent, Caller
from valverouter.edge.owed import Keeps, Owed
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.surroundings import Surroundings
from valverouter.interface import LoadReport, Outcome
from valverouter.recovery.lifecycle import DialogRecord, Phase
from valverouter.recovery.pacing import QueryPacer
from valverouter.recovery.plan import (
    PeerStatus,
    RecoveryAction,
    RecoveryPlan,
    plan_on_status,
    remaining_attempt_policy,
)
from valverouter.signalling import setup
from valverouter.terms.edge import EdgeTerms

# For so long a server is given to say what became of a leg that was out; for one that stands, as long as its
# caller has to come back.
ASKED_WITHIN = 1_000_000_000
# A dialog of a former self numbers its legs on from that one's. Its numbers are remembered so much longer
# than its time, until the last word on any of them has come.
NUMBERS_LAST = 60_000_000_000


def edge_proxy(terms: EdgeTerms, surroundings: Surroundings, store: Keeps | None) -> EdgeProxy:
    """An instance, keeping what it owes where it has a store for it."""
    return EdgeProxy(terms, surroundings) if store is None else KeepingProxy(terms, surroundings, store)


class KeepingProxy(EdgeProxy):
    """An instance with a store. Records leave with what they are of; needs with the dialog that has them."""

    def __init__(self, terms: EdgeTerms, surroundings: Surroundings, store: Keeps) -> None:
        self._owed = Owed(store, surroundings.moment)
        # What a former self's dialogs wait for before their course goes on.
        self._needs: dict[str, RecoveryAction] = {}
        # How what stood ended while its caller was away; leaves with the dialog.
        self._ends: dict[str, str] = {}
        # By such a dialog, how many legs the former self had numbered. Emptied by alarms past its time.
        self._numbered: dict[str, int] = {}
        self._pace = QueryPacer()
        super().__init__(terms, surroundings)
        self._epoch = self._owed.epoch
        self._handlers[Mend] = self._mend

    # On record, before it leaves

    def _before_departure(self, now: int) -> None:
        self._owed.commit(now)

    def _took(self, taken: Taken) -> None:
        self._owed.took(taken.setup, taken.caller.name, taken.deadline - self._now, self._now)

    def _leg_leaves(self, taken: Taken, server: str) -> None:
        assert taken.leg is not None
        start = self._incarnations.incarnation(server) or 0
        self._owed.leg_out(taken.setup.dialog, taken.leg, server, start)

    def _let_go(self, taken: Taken, outcome: Outcome) -> None:
        # Taken back before it left, it is let go on record all the same: the word that it never ran follows.
        self._owed.let_go(taken.setup.dialog)
        super()._let_go(taken, outcome)

    def _end_leg(
        self,
        taken: Taken,
        outcome: Outcome,
        asked_wait: int = 0,
        report: LoadReport | None = None,
        said: setup.Stands | None = None,
    ) -> None:
        if outcome is Outcome.ESTABLISHED:
            self._owed.stands(taken.setup.dialog)
            self._tell_kept(taken)
        else:
            self._owed.leg_over(taken.setup.dialog, outcome)
        super()._end_leg(taken, outcome, asked_wait, report, said)

    def _tell_kept(self, taken: Taken) -> None:
        """That it stands is on record here: the server need not cut it should this connection go."""
        link = taken.link
        if link is None or taken.leg is None or not link.resumes:
            return
        key = taken.setup.dialog, taken.leg
        if key in link.legs and not link.has_closed(key):
            link.send(setup.Kept(*key))

    def _answer(self, taken: Taken, message: setup.Declined | setup.Aborted | setup.Stands) -> None:
        if self._now < taken.deadline and not isinstance(message, setup.Stands):
            span = message.come_back if isinstance(message, setup.Declined) else 0
            word = type(message).__name__.lower()
            self._owed.answered(message.dialog, word, span, taken.deadline)
        super()._answer(taken, message)

    def _forget(self, taken: Taken) -> None:
        super()._forget(taken)
        self._owed.over(taken.setup.dialog)
        self._needs.pop(taken.setup.dialog, None)
        self._ends.pop(taken.setup.dialog, None)

    def _over(self, taken: Taken, reason: str) -> None:
        if isinstance(taken.caller, Absent) and reason != "released":
            # Its caller hears so when it comes back: told that nothing is known of it, it would dial again.
            self._ends[taken.setup.dialog], taken.leg = reason, None
            self._needs[taken.setup.dialog] = RecoveryAction.RESEND_ANSWER_AND_END
            return
        super()._over(taken, reason)

    def _drop(self, dialog_id: str, reason: str) -> None:
        if self._needs.pop(dialog_id, None) is RecoveryAction.QUERY_SERVER:
            # Whether it stands is not known: a cancel lets it go either way.
            self._withdraws(self._dialogs[dialog_id])
        super()._drop(dialog_id, reason)

    def _leaves(self, caller: Caller, message: setup.OfLeg) -> None:
        taken = self._dialogs.get(message.dialog)
        if (
            taken is None
            or not taken.stands
            or self._needs.get(message.dialog) is not RecoveryAction.QUERY_SERVER
        ):
            super()._leaves(caller, message)
        elif taken.caller is caller:
            self._withdraws(taken)
            self._over(taken, "released")

    # A former self's

    def _begins(self) -> None:
        self._now = now = self._clock.now()
        found = self._owed.found(self.terms.deployment.release_delay)
        for record, decision in found:
            if decision.action is RecoveryAction.RESEND_ANSWER:
                self._owed.expires(record.dialog_id, now + decision.time_left)
            else:
                self._take_over(record, decision)
        if found:
            self._log.info("recovered", dialogs=len(found), standing=self.standing, epoch=self._epoch)

    def _take_over(self, record: DialogRecord, decision: RecoveryPlan) -> None:
        now, dialog_id = self._now, record.dialog_id
        asked = setup.Setup(
            dialog=dialog_id,
            traffic_type=record.traffic_type,
            no_answer=max(1, decision.time_left),
            first_choice=record.preferred_server_number,
            called_number=record.called_number,
            was_cut=record.was_interrupted,
        )
        deadline = now + decision.time_left
        back_by = now + max(decision.time_left, self.terms.ledger.resume_within)
        taken = Taken(asked, Absent(record.caller, back_by), deadline, legs=record.attempt + 1)
        self._dialogs[dialog_id] = taken
        taken.caller.dialogs.add(dialog_id)
        if taken.legs:
            self._numbered[dialog_id] = taken.legs
            self._alarms.set(deadline + NUMBERS_LAST, Mend(dialog_id, RecoveryAction.RESEND_ANSWER))
        self._needs[dialog_id] = decision.action
        span = decision.delay
        if decision.action is RecoveryAction.QUERY_SERVER:
            taken.leg, taken.stands = record.attempt, record.phase is Phase.ESTABLISHED
            span = self.terms.ledger.resume_within if taken.stands else ASKED_WITHIN
        self._alarms.set(now + span, Mend(dialog_id, decision.action))
        self._alarms.set(back_by, Mend(dialog_id, RecoveryAction.FORGET))
        if not taken.stands:
            self._alarms.set(
                deadline - self.terms.answer_margin, Mend(dialog_id, RecoveryAction.CANCEL_ATTEMPT)
            )

    def _mend(self, event: Mend) -> None:
        """The time that something was given is over: FORGET, a caller to come back; LET_GO, a dialog that has
        not gone on; ANSWER, its numbers; else the need that it has."""
        dialog_id = event.dialog_id
        if event.need is RecoveryAction.RESEND_ANSWER:
            self._numbered.pop(dialog_id, None)
            return
        taken, need = self._dialogs.get(dialog_id), self._needs.get(dialog_id)
        if taken is None:
            return
        if event.need is RecoveryAction.FORGET:
            if isinstance(taken.caller, Absent) and self._now >= taken.caller.back_by:
                self._drop(dialog_id, "caller-gone")
        elif event.need is RecoveryAction.CANCEL_ATTEMPT:
            if need is not None:
                self._drop(dialog_id, "no-time")
        elif need is event.need is RecoveryAction.QUERY_SERVER:
            self._fate(taken, PeerStatus.NO_RESPONSE, True)
        elif need is event.need is RecoveryAction.AWAIT_RELEASE:
            self._go_on(taken)

    def _ask_at(self, link: Link, incarnation: int) -> None:
        """A server is there: it is asked for a former self's legs, where it is the process that had them."""
        for dialog_id in [
            dialog_id for dialog_id, need in self._needs.items() if need is RecoveryAction.QUERY_SERVER
        ]:
            taken, record = self._dialogs[dialog_id], self._owed.record(dialog_id)
            if record is None or record.server != link.server:
                continue
            same = record.server_incarnation in (0, incarnation)
            if not same or not link.resumes:
                # Another process never had it; one of an older version gave it up with the connection.
                self._fate(taken, PeerStatus.UNKNOWN, same)
                continue
            kind = self.terms.deployment.traffic_types.get(record.traffic_type)
            taken.link = link
            self._pace.enqueue(
                dialog_id, link.server, taken.deadline - self._now, kind.priority_weight if kind else 0
            )
        self._ask()

    def _ask(self) -> None:
        for dialog_id, server in self._pace.take_due(self._now):
            taken, link = self._dialogs.get(dialog_id), self._links.get(server)
            wanted = (
                taken is not None
                and self._needs.get(dialog_id) is RecoveryAction.QUERY_SERVER
                and taken.link is link
            )
            if taken is None or taken.leg is None or link is None or not wanted or not link.takes:
                self._pace.on_reply(server)
                continue
            link.legs[dialog_id, taken.leg] = False
            link.send(setup.Resume(dialog_id, taken.leg))

    def _answered(self, link: Link, message: setup.OfLeg) -> None:
        taken, key = self._dialogs.get(message.dialog), (message.dialog, message.leg)
        asked = self._needs.get(message.dialog) is RecoveryAction.QUERY_SERVER and link.legs.get(key) is False
        if taken is None or not asked or taken.leg != message.leg:
            super()._answered(link, message)
            return
        closes = not isinstance(message, setup.Stands)
        if closes:
            del link.legs[key]
        self._pace.on_reply(link.server)
        self._fate(taken, PeerStatus.UNKNOWN if closes else PeerStatus.ESTABLISHED, True)
        self._ask()

    def _fate(self, taken: Taken, word: PeerStatus, same_start: bool) -> None:
        """A server's word on a former self's leg, or its silence."""
        dialog_id, link = taken.setup.dialog, taken.link
        record = self._owed.record(dialog_id)
        if record is None:  # the store failed meanwhile, and what it held of this leg is void
            self._drop(dialog_id, "internal")
            return
        del self._needs[dialog_id]
        left = max(0, taken.deadline - self._now)
        decision = plan_on_status(record, word, same_start, left, self.terms.deployment.release_delay)
        self._log.debug("fate", dialog=dialog_id, word=word.name.lower(), need=decision.action.name.lower())
        if word is PeerStatus.NO_RESPONSE and link is not None:
            self._pace.on_timeout(link.server, self._now)
        if decision.action is RecoveryAction.RESEND_ANSWER:
            if not taken.stands:
                self._owed.stands(dialog_id)
                self._answer(taken, setup.Stands(dialog_id, 0, link.server if link is not None else ""))
            self._tell_kept(taken)
        elif decision.action is RecoveryAction.RESEND_ANSWER_AND_END:
            self._withdraws(taken)
            self._over(taken, "cut")
        elif decision.action is RecoveryAction.FORGET:
            self._forget(taken)
        else:
            self._withdraws(taken)
            self._owed.let_go(dialog_id)
            self._needs[dialog_id] = RecoveryAction.AWAIT_RELEASE
            self._alarms.set(self._now + decision.delay, Mend(dialog_id, RecoveryAction.AWAIT_RELEASE))

    def _withdraws(self, taken: Taken) -> None:
        """Lets a former self's leg go, where its server was asked for it and may have it."""
        link, leg, taken.leg = taken.link, taken.leg, None
        key = (taken.setup.dialog, leg if leg is not None else -1)
        if link is None or leg is None or link.legs.get(key) is not False or not link.takes:
            return
        if not link.has_closed(key):
            link.legs[key] = True
            link.send(setup.Cancel(*key))

    def _go_on(self, taken: Taken) -> None:
        """Nothing of the former self's is in the way any more. Without its caller nobody would hear."""
        asked = taken.setup
        if isinstance(taken.caller, Absent):
            self._needs[asked.dialog] = RecoveryAction.CONTINUE_ROUTING
            return
        self._needs.pop(asked.dialog, None)
        deployment = self.terms.deployment
        attempts = self._attempts_of(asked, taken.caller.name)
        kind = deployment.traffic_types.get(asked.traffic_type)
        if taken.legs and kind is not None:
            usual = attempts or own_terms(deployment, kind.latency_objective)
            attempts = remaining_attempt_policy(usual, taken.legs, deployment.max_attempts)
            if attempts is None:
                self._answer(taken, setup.Declined(asked.dialog, asked.leg, deployment.max_retry_after))
                return
        no_answer_at = taken.deadline - self.terms.answer_margin
        if no_answer_at <= self._now:
            self._answer(taken, setup.Aborted(asked.dialog, asked.leg, "no-time"))
            return
        self._decides(asked, no_answer_at, attempts)

    def _number(self, dialog_id: str, leg: int) -> int:
        return leg - self._numbered.get(dialog_id, 0)

    # Links

    def _link_up(self, event: LinkUp) -> None:
        super()._link_up(event)
        if event.link.takes:
            self._ask_at(event.link, event.welcome.incarnation)

    def _link_down(self, event: LinkDown) -> None:
        """What stands on record there is asked for on the next connection, in place of being cut at once. A
        connection that does not come about is answer enough: a server that died has cut it, and a caller who
        is told so late dials again late."""
        link = event.link
        if link.is_over or not event.sent:
            for dialog_id, need in list(self._needs.items()):
                record = self._owed.record(dialog_id)
                if (
                    need is RecoveryAction.QUERY_SERVER
                    and record is not None
                    and record.server == link.server
                ):
                    self._fate(self._dialogs[dialog_id], PeerStatus.UNKNOWN, True)
        asked = set() if link.is_over else {key for key in event.sent if self._asks_again(link, key)}
        super()._link_down(LinkDown(link, event.why, event.sent - asked, event.unsent))

    def _asks_again(self, link: Link, key: tuple[str, int]) -> bool:
        dialog_id, leg = key
        taken = self._dialogs.get(dialog_id)
        if taken is None or taken.link is not link or taken.leg != leg:
            return False
        if self._needs.get(dialog_id) is RecoveryAction.QUERY_SERVER:
            self._pace.on_timeout(link.server, self._now)
            return True
        record = self._owed.record(dialog_id)
        if not taken.stands or taken.released or record is None or record.phase is not Phase.ESTABLISHED:
            return False
        self._needs[dialog_id] = RecoveryAction.QUERY_SERVER
        self._alarms.set(
            self._now + self.terms.ledger.resume_within, Mend(dialog_id, RecoveryAction.QUERY_SERVER)
        )
        return True

    # Callers that go and come back

    def _caller_lost(self, event: CallerLost) -> None:
        if not event.caller.resumes or self._stopping:
            super()._caller_lost(event)
            return
        away = Absent(event.caller.name, self._now + self.terms.ledger.resume_within)
        for dialog_id in list(event.caller.dialogs):
            self._attach(self._dialogs[dialog_id], away)
            self._alarms.set(away.back_by, Mend(dialog_id, RecoveryAction.FORGET))

    def _attach(self, taken: Taken, caller: Caller) -> None:
        taken.caller.dialogs.discard(taken.setup.dialog)
        taken.caller = caller
        caller.dialogs.add(taken.setup.dialog)

    def _from_caller(self, event: FromCaller) -> None:
        if isinstance(event.message, setup.Resume):
            self._resume(event.caller, event.message.dialog)
        else:
            super()._from_caller(event)

    def _resume(self, caller: Caller, dialog_id: str) -> None:
        """A caller comes back for a dialog: it hears what it is owed so far, and its course goes on."""
        taken = self._dialogs.get(dialog_id)
        if taken is None or taken.caller.name != caller.name:
            caller.send(self._answer_again(caller, dialog_id))
            return
        self._attach(taken, caller)
        need = self._needs.get(dialog_id)
        if taken.stands:
            caller.send(setup.Stands(dialog_id, 0, taken.link.server if taken.link is not None else ""))
            if need is RecoveryAction.RESEND_ANSWER_AND_END:
                self._over(taken, self._ends[dialog_id])
            return
        caller.send(setup.Provisional(dialog_id))
        if need is RecoveryAction.CONTINUE_ROUTING:
            self._go_on(taken)

    def _answer_again(self, caller: Caller, dialog_id: str) -> Any:
        record = self._owed.record(dialog_id)
        if record is None or record.phase is not Phase.CONCLUDED or record.caller != caller.name:
            return setup.Unknown(dialog_id)
        if record.final_answer == "declined":
            return setup.Declined(dialog_id, 0, record.retry_after)
        return setup.Aborted(dialog_id, 0, "failed")
