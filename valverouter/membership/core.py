"""The view kept by one instance: probes, suspicions, news and exchanges, as one machine without I/O.

Fed with `heard` (a message and the address it came from) and `tick` (the time); leaves what it says in `out`,
addresses with messages, and what it found in `told`, for logs and rows. `due` is when it wants to be ticked.
Ground: SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2018); what is kept and what
is our own is argued in docs/fleet.md.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

import msgspec

from valverouter.membership.exchanging import Seldom, differing, pages, wanted
from valverouter.membership.messages import Ack, Ask, Gossip, Message, Nack, Pages, Ping, Sync
from valverouter.membership.probing import Probe, Probes
from valverouter.membership.records import Phase, Record, State, above, facts, said, unaware
from valverouter.membership.records import told as told_of
from valverouter.membership.rules import Rules
from valverouter.membership.suspicion import Suspicions
from valverouter.membership.trust import Agreement, Trust
from valverouter.membership.twins import Answer, Twin, answer
from valverouter.membership.view import BUCKETS
from valverouter.membership.voice import Told, Voice


class Membership(Voice):
    """One instance's part. Every table is bounded by the fleet's size; timers leave as they come due."""

    def __init__(
        self, mine: Record, rules: Rules, draw: Callable[[], float], now: int, seeds: tuple[str, ...] = ()
    ) -> None:
        super().__init__(mine, rules, draw, now)
        self.seeds = tuple(seed for seed in seeds if seed != mine.address)
        self.trust = Trust.UNSETTLED
        self.twin = Twin()
        self._probes = Probes(rules, draw)
        self._agreement = Agreement(rules)
        self._synced_at = now - rules.period
        self._seldom = Seldom(rules.period)
        self._suspicions = Suspicions(rules)
        self._slot = rules.period // rules.probes
        self._at(now + int(draw() * self._slot), self._probe)
        self._at(now, self._join)
        self._at(now + self._exchange_span(), self._exchange)

    # The clock

    def tick(self, now: int) -> None:
        """Does what is due. Late by over half a period, this instance did not run: what it asked then is
        void, and suspects get the time back that it did not listen for."""
        late = now - self._timers[0][0]
        self._now = now
        if late > self.rules.period // 2:
            self._stalled(late)
        while self._timers[0][0] <= now:
            _, _, act, args = heapq.heappop(self._timers)
            act(*args)
        self._judge()

    def _stalled(self, late: int) -> None:
        self.told.append(Told(self._now, "stalled", self.mine))
        self._probes.void()
        self._probes.worse()
        self._suspicions.later(late)

    def _judge(self) -> None:
        trust = self._agreement.trust(self._now, self.view, self._probes.unheard, bool(self.seeds))
        if trust is Trust.SETTLED and self.twin.life:
            trust = Trust.UNSETTLED
        if trust is not self.trust:
            self.trust = trust
            self.told.append(Told(self._now, trust.value.replace(" ", "-"), self.mine))

    # What is said of ourselves

    def change(self, now: int, phase: Phase | None = None, terms: str | None = None) -> None:
        """Tells the fleet other facts of this instance."""
        self._now = now
        phase = self.mine.phase if phase is None else phase
        terms = self.mine.terms if terms is None else terms
        if (phase, terms) != (self.mine.phase, self.mine.terms):
            self._say(said(msgspec.structs.replace(self.mine, phase=phase, terms=terms)))

    def leave(self, now: int) -> None:
        """Says so to some, who pass it on: nobody has to find out."""
        self._now = now
        self._say(said(self.mine, State.LEFT))
        for name in self._some(2 * self.rules.fan):
            self._send(self.view.records[name].address, Gossip(*self._head(), (self.mine,)))

    # Probes

    def _probe(self) -> None:
        self._at(self._now + self._slot, self._probe)
        name = self._probes.next(self._living, self.view.lives)
        if name is not None:
            self._ask_after(self.view.records[name])

    def _ask_after(self, held: Record, last_word: bool = False) -> None:
        now, rules = self._now, self.rules
        patience = self._probes.patience
        span = rules.period * patience
        probe = Probe(held.name, held.life, held.seq, held.address, now + span, last_word=last_word)
        nonce = self._probes.begin(probe)
        # It is told what is said of it: the one who can refute it must hear of it.
        accused = held if held.state != State.ALIVE else None
        self._send(held.address, Ping(*self._head(), nonce, held.life, self._take(accused)))
        self._at(now + int(rules.direct * span), self._again, nonce)
        self._at(now + span, self._verdict, nonce)

    def _again(self, nonce: int) -> None:
        """No answer yet: once more, and by way of others, whose own paths may be whole."""
        probe = self._probes.open.get(nonce)
        held = self.view.records.get(probe.name) if probe is not None else None
        if probe is None or held is None:
            return
        accused = held if held.state != State.ALIVE else None
        head = self._head()
        self._send(probe.address, Ping(*head, nonce, probe.life, self._take(accused)))
        for name in self._some(self.rules.helpers, but=probe.name):
            ask = Ask(*head, nonce, probe.name, probe.life, probe.address, self._take(accused))
            self._send(self.view.records[name].address, ask)

    def _verdict(self, nonce: int) -> None:
        probe = self._probes.open.pop(nonce, None)
        if probe is None:
            return
        held = self.view.records.get(probe.name)
        self._probes.failed(probe.nacked)
        if held is None or (held.life, held.seq) != (probe.life, probe.seq) or not held.lives:
            # It has spoken since. Judged all the same, a suspicion of a second ago became a death when a
            # member that stalls now and then stalled again.
            return
        if probe.last_word and held.state == State.SUSPECT:
            self._put_away(held)
        else:
            self._accuse(held, self.mine.name)

    # Suspicion

    def _accuse(self, held: Record, by: str) -> None:
        """`by` found it silent: in our own probe, or as told."""
        if not self.rules.suspects:
            self._put_away(held)
            return
        name, now = held.name, self._now
        suspect = told_of(held, State.SUSPECT, by)
        if held.state == State.ALIVE:
            self.view.put(suspect, now)
            self.told.append(Told(now, "suspect", suspect, by))
            self._suspicions.over(name)
        ends = self._suspicions.accuse(name, by, now, self.view.living, self._probes.patience)
        if ends is not None:
            self._spread(suspect)
            self._at(ends, self._last_word, name, held.life, held.seq)

    def _last_word(self, name: str, life: int, seq: int) -> None:
        """Its time is up; before this instance says that it is gone, it asks itself once more."""
        held = self.view.records.get(name)
        if held is None or (held.life, held.seq, held.state) != (life, seq, State.SUSPECT):
            return
        if not self._suspicions.is_due(name, self._now):
            self._at(self._suspicions.ends(name), self._last_word, name, life, seq)
            return
        self._suspicions.last_word(name, self._now, self._probes.patience)
        self._ask_after(held, last_word=True)

    def _put_away(self, held: Record) -> None:
        self._take_in(told_of(held, State.GONE, self.mine.name), "")

    # What is heard

    def heard(self, now: int, address: str, message: Message) -> None:
        """A message that came from an address; its sender is proven to have the fleet's key."""
        self._now = now
        news = getattr(message, "news", ())
        for record in news:
            self._learn(record)
        kind = type(message)
        if message.name == self.mine.name and message.life != self.mine.life:
            self._namesake(address, message)
        else:
            held = self.view.records.get(message.name)
            if held is None or held.life != message.life or not held.lives:
                self._correct(address, message, held)
            else:
                self._agreement.heard(now, message.name, message.digest)
                if message.digest != self.view.digest:
                    self._compare(held.address)
        if kind is Ping:
            self._pinged(address, message)  # type: ignore[arg-type]
        elif kind is Ack:
            self._acked(address, message)  # type: ignore[arg-type]
        elif kind is Ask:
            self._asked(address, message)  # type: ignore[arg-type]
        elif kind is Nack:
            probe = self._probes.open.get(message.nonce)  # type: ignore[union-attr]
            if probe is not None and probe.for_whom is None:
                probe.nacked = True
        elif kind is Sync:
            self._answer_sync(address, message)  # type: ignore[arg-type]
        elif kind is Pages:
            self._answer_pages(address, message)  # type: ignore[arg-type]

    def _learn(self, record: Record) -> None:
        if record.name == self.mine.name:
            self._of_us(record)
            return
        held = self.view.records.get(record.name)
        if held is not None and record.state == State.SUSPECT and _is_of(record, held):
            self._doubts(held, record.by)
        elif self.view.is_later(record):
            self._take_in(record, record.by)
        elif (
            held is not None
            and record.lives
            and unaware(record, held)
            and self._seldom.may(record.address, self._now)
        ):
            # If it runs, it hears of the other here, and goes above it for all. If it does not, whoever has
            # its address now has nothing to learn from it.
            self._send(record.address, Gossip(*self._head(), (held,)))

    def _doubts(self, held: Record, by: str) -> None:
        """One whom we hold as it is told is accused; some of those who hear it first look for themselves."""
        if not held.lives or by == self.mine.name:
            return
        self._accuse(held, by)
        if held.state == State.ALIVE and self._draw() * self.view.living < self.rules.witnesses:
            self._ask_after(self.view.records[held.name])

    def _take_in(self, record: Record, by: str) -> None:
        """A later record of another: kept, told, passed on."""
        name, now = record.name, self._now
        held = self.view.records.get(name)
        self.view.put(record, now)
        self._suspicions.over(name)
        self._spread(record)
        if record.state == State.SUSPECT:
            # Later than what we held, and in doubt already: its time runs from here.
            alive = told_of(record, State.ALIVE, "")
            self.view.put(alive, now)
            self._announce(held, alive, by)
            self._accuse(alive, by)
            return
        self._announce(held, record, by)
        if not record.lives:
            self._at(now + self.rules.remembers, self._forget, name, record.life, record.seq)
        elif held is None or not held.lives:
            self._probes.joined(name)

    def _announce(self, held: Record | None, record: Record, by: str) -> None:
        if record.state == State.GONE:
            what = "gone"
        elif record.state == State.LEFT:
            what = "left"
        elif held is None:
            what = "joined"
        elif held.life != record.life:
            what = "restarted"
        elif held.state == State.ALIVE:
            what = "changed" if facts(held) != facts(record) else ""
        else:
            what = "refuted"
        if what:
            self.told.append(Told(self._now, what, record, by))

    def _forget(self, name: str, life: int, seq: int) -> None:
        held = self.view.records.get(name)
        if held is not None and (held.life, held.seq) == (life, seq) and not held.lives:
            self.view.forget(name)
            self.told.append(Told(self._now, "forgotten", held))

    def _of_us(self, record: Record) -> None:
        match answer(self.mine, record, self.twin.life):
            case Answer.REFUTE:
                if record.state == State.SUSPECT:
                    self._probes.worse()
                self.told.append(Told(self._now, "accused", record, record.by))
                self._say(said(msgspec.structs.replace(self.mine, seq=max(self.mine.seq, record.seq))))
            case Answer.RAISE:
                mine = self.mine
                if record.life == self.twin.life:
                    self._twin_over()
                    mine = msgspec.structs.replace(mine, twin=False)
                self._say(above(mine, record))
            case Answer.ASK:
                if self._seldom.may(record.address, self._now):
                    self._ask_namesake(record.address, record.life)
            case Answer.NOTHING:
                pass

    # Our own name, and others' former selves

    def _ask_namesake(self, address: str, life: int) -> None:
        probe = Probe(self.mine.name, life, 0, address, self._now + self.rules.period)
        nonce = self._probes.begin(probe)
        self._send(address, Ping(*self._head(), nonce, life, (self.mine,)))
        self._at(probe.until, self._drop_probe, nonce)

    def _drop_probe(self, nonce: int) -> None:
        self._probes.open.pop(nonce, None)

    def _namesake(self, address: str, message: Message) -> None:
        """Another life under our name says something. A datagram may be old: only an answer to our own nonce
        proves that it runs."""
        if (
            type(message) is not Ack
            and message.life != self.twin.life
            and self._seldom.may(address, self._now)
        ):
            self._ask_namesake(address, message.life)
        elif message.life == self.twin.life:
            self.twin.heard(message.life, address, self._now)

    def _found_twin(self, life: int, address: str) -> None:
        if self.twin.heard(life, address, self._now):
            self.told.append(Told(self._now, "conflict", self.mine, address))
            self._say(said(msgspec.structs.replace(self.mine, twin=True)))

    def _twin_over(self) -> None:
        self.told.append(Told(self._now, "conflict-over", self.mine, self.twin.address))
        self.twin.clear()

    def _correct(self, address: str, message: Message, held: Record | None) -> None:
        """The sender is not who we take it for: it is told what we hold, and says itself what holds."""
        if not self._seldom.may(address, self._now):
            return
        if held is None:
            self._sync(address)
        else:
            self._send(address, Gossip(*self._head(), (held,)))

    # Answers

    def _pinged(self, address: str, ping: Ping) -> None:
        mistaken = ping.to_life != self.mine.life
        news = self._take(self.mine if mistaken or self._doubted(ping) else None)
        mine = self.mine
        self._send(address, Ack(*self._head(), ping.nonce, mine.name, mine.life, news))

    def _doubted(self, ping: Ping) -> bool:
        """It goes with the answer that we live, where the question carried a doubt."""
        return any(record.name == self.mine.name for record in ping.news)

    def _acked(self, address: str, ack: Ack) -> None:
        probe = self._probes.open.pop(ack.nonce, None)
        if probe is None or probe.name != ack.of:
            return
        if probe.name == self.mine.name:
            if ack.of_life != self.mine.life:
                self._found_twin(ack.of_life, probe.address)
            return
        if probe.for_whom is not None:
            to, nonce = probe.for_whom
            self._send(to, Ack(*self._head(), nonce, ack.of, ack.of_life, ack.news))
            return
        self._probes.answered()
        held = self.view.records.get(ack.of)
        if held is None:
            return
        if ack.of_life != held.life:
            self._prove(held, ack)
        elif held.state == State.SUSPECT:
            self._suspicions.answered(held.name, self._now)

    def _prove(self, held: Record, ack: Ack) -> None:
        """Another life answers at the address of the one we hold: it hears of its former self here, and goes
        above it for all."""
        if ack.of_life not in held.over:
            self._send(held.address, Gossip(*self._head(), (held,)))

    def _asked(self, address: str, ask: Ask) -> None:
        now, rules = self._now, self.rules
        probe = Probe(ask.of, ask.of_life, 0, ask.address, now + rules.period, for_whom=(address, ask.nonce))
        nonce = self._probes.begin(probe)
        doubt = tuple(record for record in ask.news if record.name == ask.of)
        held = self.view.records.get(ask.of)
        if doubt and held is not None and held.life == ask.of_life and held.seq > doubt[0].seq:
            # The asker has missed that it was refuted: a member that stalls just then would be put away on a
            # doubt that all others know to be over.
            self._send(address, Gossip(*self._head(), (held,)))
        self._send(ask.address, Ping(*self._head(), nonce, ask.of_life, doubt or self._take()))
        self._at(now + int(rules.direct * rules.period), self._nack, nonce)
        self._at(probe.until, self._drop_probe, nonce)

    def _nack(self, nonce: int) -> None:
        probe = self._probes.open.get(nonce)
        if probe is not None and probe.for_whom is not None:
            self._send(probe.for_whom[0], Nack(*self._head(), probe.for_whom[1]))

    # Whole views

    def _exchange_span(self) -> int:
        return int(self.rules.exchange * self.rules.period * (0.75 + 0.5 * self._draw()))

    def _join(self) -> None:
        """Until anybody is known, some seeds are asked each period; then the exchanges go on trying them."""
        if self.view.living == 1 and self.seeds:
            for _ in range(min(3, len(self.seeds))):
                self._sync(self.seeds[int(self._draw() * len(self.seeds))])
            self._at(self._now + self.rules.period, self._join)

    def _exchange(self) -> None:
        """With one of those who are there, and with one of those who are not believed to be: so two halves of
        a cut find each other, though each took the other for gone."""
        self._at(self._now + self._exchange_span(), self._exchange)
        self._seldom.clear()
        for name in self._some(1):
            self._sync(self.view.records[name].address)
        strangers = self.view.strangers(self.seeds)
        if strangers:
            self._sync(strangers[int(self._draw() * len(strangers))])
        if self.twin.life:
            patience = int(3 * self.rules.exchange * self.rules.period)
            if self.twin.is_over(self._now, patience):
                self._twin_over()
                self._say(said(msgspec.structs.replace(self.mine, twin=False)))
            else:
                self._ask_namesake(self.twin.address, self.twin.life)
        if self.view.living == 1:
            self._join()

    def _sync(self, address: str) -> None:
        self._send(address, Sync(*self._head(), tuple(self.view.buckets), (self.mine,)))

    def _compare(self, address: str) -> None:
        """Its digest is another: at once, but once a period, since while news travel all digests differ."""
        if self._now - self._synced_at >= self.rules.period:
            self._synced_at = self._now
            self._sync(address)

    def _answer_sync(self, address: str, sync: Sync) -> None:
        if len(sync.buckets) != BUCKETS:
            return
        differ = differing(self.view.buckets, sync.buckets)
        if differ:
            self._pages(address, set(differ), tuple(differ))
        else:
            # The same view: said so, or one that is new here would not know that it was heard.
            self._send(address, Pages(*self._head(), (), (self.mine,)))

    def _answer_pages(self, address: str, heard: Pages) -> None:
        if heard.wants:
            self._pages(address, wanted(heard.wants), ())

    def _pages(self, address: str, buckets: set[int], wants: tuple[int, ...]) -> None:
        for page in pages(self.view, self.mine, buckets, self.rules.room):
            self._send(address, Pages(*self._head(), wants, page))
            wants = ()


def _is_of(record: Record, held: Record) -> bool:
    """Whether both tell of one word that the member said of itself."""
    return (record.life, record.seq) == (held.life, held.seq)
