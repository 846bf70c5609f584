"""The fleet's view in simulated time: each hard case is caused, and the view settles again."""

from __future__ import annotations

import dataclasses
import itertools
import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from valverouter.emulator.views import SECOND, WALL, Node, Views
from valverouter.membership.config import MembershipConfig
from valverouter.membership.convergence import ViewHealth
from valverouter.membership.events import MembershipEvent
from valverouter.membership.gossip import BroadcastQueue
from valverouter.membership.messages import Gossip, Ping, SyncDigests, updates_of
from valverouter.membership.model import Model, PropertyViolationError, ProtocolRule
from valverouter.membership.records import (
    MemberRecord,
    MemberState,
    as_reported,
    next_own_record,
    supersedes,
    superseding_record,
)
from valverouter.membership.view import MembershipView
from valverouter.servermodel.paths import KINDS, PathFault, Paths
from valverouter.terms.day import PATH_KINDS

SEEDS = ("e0:1", "e1:1", "e2:1")


class Rig:
    """A fleet in simulated time; `found` counts what was found by whom of whom."""

    def __init__(
        self,
        count: int,
        faults: list[PathFault] | None = None,
        loss: float = 0.0,
        rules: MembershipConfig | None = None,
    ) -> None:
        chance = random.Random("paths")
        self.found: Counter[tuple[str, str, str]] = Counter()
        self.history: list[tuple[int, str, MembershipEvent]] = []

        def watch(node: Node, found: MembershipEvent) -> None:
            self.found[node.name, found.kind, found.record.name] += 1
            self.history.append((found.time, node.name, found))

        def delay(sender: str, receiver: str) -> int:
            return 500_000 + int(chance.random() * 1_500_000)

        paths = Paths(faults or [], chance.random, delay, loss)
        self.views = Views(rules or MembershipConfig(), paths, 1, watch)
        self.views.full(count, SEEDS)

    def count(self, what: str, of: str = "") -> int:
        return sum(n for (_, w, member), n in self.found.items() if w == what and of in ("", member))

    def settles(self, within_s: float, rest_s: float = 8.0) -> float:
        """Seconds until settled, and still so after a while; fails when it does not in time."""
        began = self.views.now
        at = self.views.settles(began + int(within_s * SECOND))
        assert at is not None, "not settled in time"
        self.views.run(self.views.now + int(rest_s * SECOND))
        assert self.views.is_settled(), "settled, and then not any more"
        return (at - began) / SECOND


def split(start: float, length: float, *groups: set[str]) -> PathFault:
    begins = int(start * SECOND)
    until = begins + int(length * SECOND)
    return PathFault("split", begins, until, groups=tuple(frozenset(group) for group in groups))


def names(count: int) -> set[str]:
    return {f"e{at}" for at in range(count)}


# Two words on one name


def record(
    number: int, life: int, seq: int = 0, state: MemberState = MemberState.ALIVE, over: tuple[int, ...] = ()
) -> MemberRecord:
    return MemberRecord("e1", "", 0, "e1:1", number, life, seq, state, over)


RECORDS = st.builds(
    record,
    st.integers(1, 4),
    st.integers(1, 3),
    st.integers(0, 2),
    st.sampled_from([MemberState.ALIVE, MemberState.SUSPECT, MemberState.GONE, MemberState.LEFT]),
    st.sampled_from([(), (1,), (2,), (1, 2)]),
)


@given(RECORDS, RECORDS)
def test_of_two_words_at_most_one_is_the_later(one: MemberRecord, two: MemberRecord) -> None:
    assert not (supersedes(one, two) and supersedes(two, one))
    if one.incarnation != two.incarnation and (
        one.incarnation in two.previous_incarnations or two.incarnation in one.previous_incarnations
    ):
        assert supersedes(one, two) or supersedes(two, one), "one of them names the other"


def test_who_names_a_life_came_after_it_whatever_the_clocks_say() -> None:
    former, fresh = record(900, 1), record(100, 2)
    assert not supersedes(former, fresh) and not supersedes(fresh, former), "nobody knows yet"
    raised = superseding_record(fresh, former)
    assert supersedes(raised, former)
    assert not supersedes(former, raised)
    later = as_reported(dataclasses_seq(former, 50), MemberState.GONE, "x")
    assert not supersedes(later, raised), "nothing of the former self counts any more"


def dataclasses_seq(one: MemberRecord, seq: int) -> MemberRecord:
    for _ in range(seq):
        one = next_own_record(one)
    return one


@settings(max_examples=40, deadline=None)
@given(st.lists(RECORDS, min_size=2, max_size=5), st.randoms(use_true_random=False))
def test_the_order_of_a_life_s_own_words_does_not_matter(
    words: list[MemberRecord], chance: random.Random
) -> None:
    own = [one for one in words if one.incarnation == words[0].incarnation and one.is_live] or words[:1]
    ends = set()
    for order in (own, list(reversed(own)), sorted(own, key=lambda one: chance.random())):
        view = MembershipView(0)
        for one in order:
            if view.accepts(one):
                view.put(one, 0)
        if "e1" in view.records:
            held = view.records["e1"]
            ends.add((held.sequence, held.state))
    assert len(ends) <= 1


def test_the_digest_follows_who_is_there_and_not_the_doubts() -> None:
    view, other = MembershipView(4), MembershipView(4)
    for one in (view, other):
        one.put(MemberRecord("e0", "", 0, "e0:1", 5, 50), 0)
    view.put(record(3, 7), 1)
    other.put(record(3, 7, seq=4), 9)
    assert view.digest == other.digest
    view.put(as_reported(record(3, 7), MemberState.SUSPECT, "e0"), 2)
    assert view.digest == other.digest
    assert view.suspect_count == 1
    view.put(as_reported(record(3, 7), MemberState.GONE, "e0"), 3)
    assert view.digest != other.digest
    assert (view.live_count, view.gone_count, view.suspect_count) == (1, 1, 0)
    other.put(as_reported(record(3, 7, seq=4), MemberState.GONE, "e0"), 9)
    assert view.digest == other.digest
    assert view.bucket_digests == other.bucket_digests


def test_the_dead_whom_nobody_knew_are_not_passed_round() -> None:
    view = MembershipView(4)
    assert not view.accepts(record(3, 7, state=MemberState.GONE))
    view.put(record(3, 7), 0)
    view.put(as_reported(record(3, 7), MemberState.GONE, "x"), 1)
    view.forget("e1")
    assert not view.records
    assert list(view.forgotten_addresses) == ["e1:1"]
    assert view.digest == 0


def test_news_leave_after_so_many_sends_and_fit_their_room() -> None:
    news = BroadcastQueue(max_bytes=400)
    for at in range(9):
        news.put(MemberRecord(f"e{at}", "", 0, f"e{at}:1", 1, at))
    taken = [news.take(3) for _ in range(12)]
    assert all(sum(one.size for one in page) <= 400 for page in taken)
    sent = Counter(one.name for page in taken for one in page)
    assert set(sent.values()) == {3}
    assert len(sent) == 9
    assert not len(news)


# Courses


def test_a_fleet_that_knows_nothing_but_three_seeds_settles() -> None:
    rig = Rig(1)
    for at in range(1, 24):
        rig.views.start(f"e{at}", SEEDS)
    assert rig.settles(10) < 5


def test_a_death_is_known_to_all_and_a_leave_at_once() -> None:
    rig = Rig(24)
    rig.views.run(5 * SECOND)
    rig.views.kill("e7")
    assert rig.settles(12) < 11
    assert rig.count("gone", "e7") == 23
    assert rig.count("gone") == 23
    rig.views.leave("e9")
    assert rig.settles(4) < 2
    assert rig.count("left", "e9") == 22


def test_all_restarted_at_once() -> None:
    rig = Rig(24)
    rig.views.run(5 * SECOND)
    for name in sorted(names(24)):
        rig.views.kill(name)
    rig.views.run(6 * SECOND)
    for name in sorted(names(24)):
        rig.views.start(name, SEEDS)
    assert rig.settles(15) < 10
    assert rig.count("gone") == 0, "nobody takes a restart for a death, or a former self for anybody"


def test_a_third_killed_at_once() -> None:
    rig = Rig(24)
    rig.views.run(5 * SECOND)
    for at in range(0, 24, 3):
        rig.views.kill(f"e{at}")
    rig.settles(20)
    assert {node.membership.view_health for node in rig.views.live()} == {ViewHealth.SETTLED}


def test_a_region_cut_off_for_longer_than_deaths_are_remembered_with_restarts_on_both_sides() -> None:
    rules = dataclasses.replace(MembershipConfig(), gone_retention=20 * SECOND)
    south = {f"e{at}" for at in range(12, 24)}
    rig = Rig(24, [split(5, 60, names(24) - south, south)], rules=rules)
    rig.views.run(50 * SECOND)
    assert rig.count("forgotten"), "both sides have forgotten each other"
    for name in ("e4", "e15"):
        rig.views.kill(name)
        rig.views.start(name, SEEDS, address=f"{name}:2")
    rig.views.run(65 * SECOND)
    assert rig.settles(30) < 25


def test_a_seed_less_side_finds_the_other_by_the_addresses_of_those_long_gone() -> None:
    rules = dataclasses.replace(MembershipConfig(), gone_retention=15 * SECOND)
    rig = Rig(0, [split(2, 50, {f"e{at}" for at in range(4)}, {f"e{at}" for at in range(4, 8)})], rules=rules)
    rig.views.full(8)
    rig.views.run(52 * SECOND)
    assert rig.count("forgotten") >= 16
    rig.settles(40)


def test_who_hears_and_is_not_heard_is_told_of_and_comes_back() -> None:
    one_way = PathFault("cut", 5 * SECOND, 25 * SECOND, frozenset({"e5"}), frozenset())
    rig = Rig(12, [one_way])
    rig.views.run(25 * SECOND)
    assert rig.count("gone", "e5") == 11
    assert not any(who != "e5" and member != "e5" for who, what, member in rig.found if what == "gone")
    rig.settles(20)


def test_one_pair_s_cut_one_way_is_got_round() -> None:
    rig = Rig(12, [PathFault("cut", 5 * SECOND, 60 * SECOND, frozenset({"e5"}), frozenset({"e8"}))])
    rig.views.run(60 * SECOND)
    assert rig.count("gone") == 0, "others reach it, and say so"


def test_one_that_is_stopped_for_8_s_ten_times_in_a_row() -> None:
    rig = Rig(24)
    for at in range(10):
        rig.views.run((5 + 9 * at) * SECOND)
        rig.views.stall("e5", 8 * SECOND)
    rig.views.run(95 * SECOND)
    rig.settles(15)
    accused = {member for who, what, member in rig.found if what == "gone" and who == "e5"}
    assert not accused, "it wakes without putting anybody away"
    assert all(member == "e5" for _, what, member in rig.found if what == "gone")


def test_one_whose_every_answer_comes_300_ms_late() -> None:
    late = PathFault("late", 0, 120 * SECOND, frozenset({"e5"}), frozenset(), span=300_000_000)
    rig = Rig(24, [late])
    rig.views.run(120 * SECOND)
    assert rig.count("gone") == 0
    assert rig.count("suspect") == 0


def test_30_percent_loss_everywhere() -> None:
    rig = Rig(24, [PathFault("loss", 0, 60 * SECOND, share=0.3)])
    rig.views.run(60 * SECOND)
    assert rig.count("gone") == 0
    assert rig.count("suspect") > 0
    rig.settles(10)


def test_twice_and_out_of_order_changes_nothing() -> None:
    mixed = [
        PathFault("twice", 0, 60 * SECOND, share=0.5, span=3 * SECOND),
        PathFault("swapped", 0, 60 * SECOND, share=0.5, span=200_000_000),
    ]
    rig = Rig(24, mixed)
    rig.views.run(40 * SECOND)
    assert rig.count("gone") == 0
    rig.views.kill("e3")
    rig.views.run(60 * SECOND)
    assert rig.views.is_settled()


def test_all_seeds_dead() -> None:
    rig = Rig(12)
    for at in range(3):
        rig.views.kill(f"e{at}")
    rig.settles(20)
    rig.views.start("e12", SEEDS)
    rig.views.run(rig.views.now + 5 * SECOND)
    assert rig.views.nodes["e12"].membership.view_health is ViewHealth.UNSETTLED, (
        "alone, and told of seeds: no fleet of one"
    )
    rig.views.start("e1", ("e5:1",))
    rig.settles(20)


def test_a_clock_set_back_an_hour_and_then_a_restart() -> None:
    rig = Rig(12)
    rig.views.run(5 * SECOND)
    for name in ("e4", "e0"):
        former = rig.views.nodes[name].membership.own_record
        rig.views.kill(name)
        fresh = rig.views.start(name, SEEDS, wall_ms=WALL - 3_600_000)
        rig.views.run(rig.views.now + 3 * SECOND)
        assert fresh.membership.own_record.generation > former.generation
        assert former.incarnation in fresh.membership.own_record.previous_incarnations
        # A word of the former self, late.
        for node in rig.views.live():
            gossip = Gossip(
                "e9",
                rig.views.nodes["e9"].membership.own_record.incarnation,
                0,
                (dataclasses_seq(former, 9),),
            )
            node.membership.receive(rig.views.now, "e9:1", gossip)
    rig.settles(10)
    for node in rig.views.live():
        assert (
            node.membership.view.records["e4"].incarnation
            == rig.views.nodes["e4"].membership.own_record.incarnation
        )


def test_an_answer_from_its_own_address_proves_who_is_there() -> None:
    """Nobody told the fresh self of its former one, and nobody lets a larger number win over an answer."""
    rig = Rig(4)
    rig.views.run(5 * SECOND)
    rig.views.kill("e3")
    former = rig.views.nodes["e3"].membership.own_record
    fresh = rig.views.start("e3", (), wall_ms=WALL - 3_600_000)
    rig.settles(10)
    assert former.incarnation in fresh.membership.own_record.previous_incarnations, (
        "who asked after the former self told it"
    )


def twins(rig: Rig) -> tuple[Node, Node]:
    one = rig.views.nodes["e3"]
    two = rig.views.start("e3", SEEDS, address="e3:2")
    rig.views.nodes["e3-twin"] = one
    return one, two


def test_two_processes_with_one_name_both_tell_and_neither_flaps() -> None:
    rig = Rig(8)
    rig.views.run(5 * SECOND)
    one, two = twins(rig)
    rig.views.run(20 * SECOND)
    assert rig.found["e3", "conflict", "e3"] == 2, "each of the two tells once"
    assert one.membership.name_conflict.incarnation == two.membership.own_record.incarnation
    assert two.membership.name_conflict.incarnation == one.membership.own_record.incarnation
    held = {node.membership.view.records["e3"].incarnation for node in rig.views.live() if node.name != "e3"}
    assert len(held) == 1
    assert all(
        node.membership.view.records["e3"].name_conflict for node in rig.views.live() if node.name != "e3"
    )
    before = rig.count("restarted")
    rig.views.run(120 * SECOND)
    assert rig.count("restarted") == before
    assert rig.count("gone") == 0
    # The one that the fleet holds ends: the other takes its place, and no conflict is left.
    ends = one if one.membership.own_record.incarnation in held else two
    stays = two if ends is one else one
    ends.alive = False
    del rig.views._at_address[ends.address]
    rig.views.run(200 * SECOND)
    others = [node for node in rig.views.live() if node.name != "e3"]
    assert {node.membership.view.records["e3"].incarnation for node in others} == {
        stays.membership.own_record.incarnation
    }
    assert stays.membership.view_health is ViewHealth.SETTLED
    assert not stays.membership.own_record.name_conflict


def test_a_late_word_of_a_former_self_is_no_conflict() -> None:
    rig = Rig(8)
    rig.views.run(5 * SECOND)
    former = rig.views.nodes["e3"].membership.own_record
    rig.views.kill("e3")
    fresh = rig.views.start("e3", SEEDS)
    rig.views.run(7 * SECOND)
    fresh.membership.receive(
        rig.views.now, "e3:1", Ping("e3", former.incarnation, 0, 5, fresh.membership.own_record.incarnation)
    )
    rig.views.run(20 * SECOND)
    assert rig.count("conflict") == 0
    assert not fresh.membership.own_record.name_conflict


def test_a_fleet_told_24_that_is_really_40_keeps_a_view_of_40() -> None:
    rig = Rig(40)
    rig.views.run(10 * SECOND)
    assert {node.membership.view.live_count for node in rig.views.live()} == {40}
    assert {node.membership.view_health for node in rig.views.live()} == {ViewHealth.SETTLED}


def test_a_minority_says_that_it_is_cut_off_and_a_majority_does_not() -> None:
    few = {"e0", "e1", "e2"}
    rig = Rig(12, [split(5, 60, few, names(12) - few)])
    rig.views.run(30 * SECOND)
    for node in rig.views.live():
        assert node.membership.view_health is (ViewHealth.CUT_OFF if node.name in few else ViewHealth.SETTLED)
    rig.views.run(65 * SECOND)
    rig.settles(20)
    rig.views.run(rig.views.now + 10 * SECOND)
    assert {node.membership.view_health for node in rig.views.live()} == {ViewHealth.SETTLED}


def test_one_alone_behind_a_cut_says_so_before_it_has_put_anybody_away() -> None:
    rig = Rig(12, [split(5, 30, {"e0"}, names(12) - {"e0"})])
    rig.views.run(13 * SECOND)
    assert rig.views.nodes["e0"].membership.view_health is ViewHealth.CUT_OFF
    assert not any(who == "e0" and what == "gone" for who, what, _ in rig.found)


def test_silence_of_one_who_has_spoken_since_it_was_asked_says_nothing() -> None:
    """Found by simulated days with stalls: a verdict on a probe begun before a refutation put the member away
    on its next stall."""
    rig = Rig(6)
    rig.views.run(3 * SECOND)
    core = rig.views.nodes["e0"].membership
    held = core.view.records["e1"]
    core.failure_detector.probe(as_reported(held, MemberState.SUSPECT, "e2"), is_final=True)
    (nonce,) = [n for n, probe in core.failure_detector.probes.pending.items() if probe.is_final]
    core.member_updates.apply(next_own_record(held))
    core.member_updates.apply(as_reported(next_own_record(held), MemberState.SUSPECT, "e2"))
    core.failure_detector._conclude(nonce)
    assert core.view.records["e1"].state is MemberState.SUSPECT, "not gone: that doubt is a second old"


def test_who_missed_a_refutation_hears_of_it_when_it_asks_others() -> None:
    rig = Rig(6)
    rig.views.run(3 * SECOND)
    asker, helper = rig.views.nodes["e0"].membership, rig.views.nodes["e2"].membership
    old = asker.view.records["e1"]
    helper.member_updates.apply(next_own_record(old))
    asker.member_updates.apply(as_reported(old, MemberState.SUSPECT, "e3"))
    asker.failure_detector.probe(asker.view.records["e1"], is_final=True)
    (nonce,) = [n for n, probe in asker.failure_detector.probes.pending.items() if probe.is_final]
    rig.views.nodes["e1"].stalled_until = rig.views.now + 2 * SECOND
    asker.failure_detector._probe_indirectly(nonce)
    rig.views._after(rig.views.nodes["e0"])
    rig.views.run(rig.views.now + 100_000_000)
    assert asker.view.records["e1"].sequence > old.sequence


def test_whole_views_are_exchanged_in_pages_that_fit() -> None:
    rig = Rig(200)
    one, two = rig.views.nodes["e3"], rig.views.nodes["e4"]
    for name in list(two.membership.view.records):
        if name not in ("e3", "e4"):
            two.membership.view.forget(name)
    two.membership.receive(
        0,
        "e3:1",
        SyncDigests(
            "e3",
            one.membership.own_record.incarnation,
            0,
            tuple(one.membership.view.bucket_digests),
            (one.membership.own_record,),
        ),
    )
    pages = [message for _, message in two.membership.outbox]
    assert pages
    assert all(
        sum(record.size for record in updates_of(page)) <= two.membership.config.max_update_bytes
        for page in pages
    )
    rig.views._after(two)
    rig.views.run(SECOND // 2)
    assert two.membership.view.digest == one.membership.view.digest
    assert two.membership.view.live_count == 200


@pytest.mark.parametrize("seed", range(6))
def test_mixed_courses_settle_and_nobody_goes_back_to_a_former_self(seed: int) -> None:
    chance = random.Random(seed)
    faults = []
    for _ in range(5):
        kind = chance.choice(KINDS)
        start = int(chance.uniform(2, 30) * SECOND)
        who = frozenset(chance.sample(sorted(names(16)), chance.randint(1, 8)))
        until = start + int(chance.uniform(1, 15) * SECOND)
        faults.append(
            PathFault(kind, start, until, who, both=True, share=0.4, span=SECOND // 4, groups=(who,))
        )
    rig = Rig(16, faults)
    seen: dict[tuple[int, str], list[int]] = {}

    def look() -> None:
        for node in rig.views.live():
            for name, held in node.membership.view.records.items():
                lives = seen.setdefault((node.membership.own_record.incarnation, name), [])
                if held.is_live and (not lives or lives[-1] != held.incarnation):
                    assert held.incarnation not in lives, f"{node.name} went back to a former {name}"
                    lives.append(held.incarnation)

    for at in range(2, 46):
        rig.views.run(at * SECOND)
        look()
        name = f"e{chance.randrange(16)}"
        if chance.random() < 0.3 and rig.views.nodes[name].alive:
            if chance.random() < 0.5:
                rig.views.stall(name, 3 * SECOND)
            else:
                rig.views.kill(name)
        elif not rig.views.nodes[name].alive:
            back = chance.choice((0, 3_600_000))
            rig.views.start(name, SEEDS, wall_ms=WALL + at * 1000 - back)
    rig.views.run(50 * SECOND)
    rig.settles(40)
    look()


def test_the_paths_strike_whom_they_name() -> None:
    assert PATH_KINDS == KINDS
    cut = PathFault("cut", 10, 20, frozenset({"a"}), frozenset({"b"}))
    both = PathFault("cut", 30, 40, frozenset({"a"}), frozenset({"b"}), both=True)
    halves = PathFault("split", 50, 60, groups=(frozenset({"a", "b"}), frozenset({"c"})))
    paths = Paths([halves, cut, both], random.Random(1).random)

    def passes(at: int) -> set[str]:
        pairs = itertools.permutations("abc", 2)
        return {one + two for one, two in pairs if paths.arrivals(one, two, at)}

    every = {"ab", "ac", "ba", "bc", "ca", "cb"}
    assert passes(5) == every
    assert passes(15) == every - {"ab"}
    assert passes(25) == every
    assert passes(35) == every - {"ab", "ba"}
    assert passes(55) == {"ab", "ba"}
    assert passes(65) == every


# The checked model


@pytest.mark.parametrize(
    ("model", "states"),
    [
        (Model(max_processes=2, max_accusations=1), 2681),
        (Model(max_processes=2, max_accusations=0, max_concurrent=2), 3601),
        (Model(max_processes=3, max_accusations=0), 16133),
    ],
)
def test_every_order_of_starts_ends_doubts_and_words_keeps_the_view_right(model: Model, states: int) -> None:
    assert model.walk() == states, "told in docs/fleet.md"


@pytest.mark.parametrize("omitted", list(ProtocolRule))
def test_the_walk_notices_each_omitted_rule(omitted: ProtocolRule) -> None:
    max_concurrent = 2 if omitted in (ProtocolRule.VERIFY, ProtocolRule.TIE_BREAK) else 1
    model = Model(max_processes=2, max_accusations=1, max_concurrent=max_concurrent, omitted=omitted)
    with pytest.raises(PropertyViolationError):
        model.walk()
