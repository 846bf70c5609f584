"""Unit tests of member records, the view's digest and the broadcast queue."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.membership_harness import with_later_sequence
from valverouter.membership.gossip import BroadcastQueue
from valverouter.membership.records import (
    MemberRecord,
    MemberState,
    as_reported,
    supersedes,
    superseding_record,
)
from valverouter.membership.view import MembershipView


def make_record(
    generation: int,
    incarnation: int,
    sequence: int = 0,
    state: MemberState = MemberState.ALIVE,
    previous: tuple[int, ...] = (),
) -> MemberRecord:
    return MemberRecord("e1", "", 0, "e1:1", generation, incarnation, sequence, state, previous)


RECORDS = st.builds(
    make_record,
    st.integers(1, 4),
    st.integers(1, 3),
    st.integers(0, 2),
    st.sampled_from([MemberState.ALIVE, MemberState.SUSPECT, MemberState.GONE, MemberState.LEFT]),
    st.sampled_from([(), (1,), (2,), (1, 2)]),
)


@given(RECORDS, RECORDS)
def test_of_two_records_at_most_one_supersedes_the_other(first: MemberRecord, second: MemberRecord) -> None:
    assert not (supersedes(first, second) and supersedes(second, first))
    if first.incarnation != second.incarnation and (
        first.incarnation in second.previous_incarnations or second.incarnation in first.previous_incarnations
    ):
        assert supersedes(first, second) or supersedes(second, first), "one of them names the other"


def test_a_record_that_names_an_incarnation_supersedes_it_whatever_the_clocks_say() -> None:
    previous, restarted = make_record(900, 1), make_record(100, 2)
    assert not supersedes(previous, restarted), "neither has named the other yet"
    assert not supersedes(restarted, previous), "neither has named the other yet"
    raised = superseding_record(restarted, previous)
    assert supersedes(raised, previous)
    assert not supersedes(previous, raised)
    later = as_reported(with_later_sequence(previous, 50), MemberState.GONE, "x")
    assert not supersedes(later, raised), "a previous incarnation has no record that supersedes the new one"


@settings(max_examples=40, deadline=None)
@given(st.lists(RECORDS, min_size=2, max_size=5), st.randoms(use_true_random=False))
def test_the_order_of_an_incarnation_s_own_records_does_not_matter(
    records: list[MemberRecord], rng: random.Random
) -> None:
    incarnation = records[0].incarnation
    own = [record for record in records if record.incarnation == incarnation and record.is_live]
    own = own or records[:1]
    ends = set()
    for order in (own, list(reversed(own)), sorted(own, key=lambda record: rng.random())):
        view = MembershipView(0)
        for record in order:
            if view.accepts(record):
                view.set_record(record, 0)
        if "e1" in view.records:
            held = view.records["e1"]
            ends.add((held.sequence, held.state))
    assert len(ends) <= 1


def test_the_digest_covers_live_members_and_not_suspicions() -> None:
    view, other = MembershipView(4), MembershipView(4)
    for each in (view, other):
        each.set_record(MemberRecord("e0", "", 0, "e0:1", 5, 50), 0)
    view.set_record(make_record(3, 7), 1)
    other.set_record(make_record(3, 7, sequence=4), 9)
    assert view.digest == other.digest
    view.set_record(as_reported(make_record(3, 7), MemberState.SUSPECT, "e0"), 2)
    assert view.digest == other.digest
    assert view.suspect_count == 1
    view.set_record(as_reported(make_record(3, 7), MemberState.GONE, "e0"), 3)
    assert view.digest != other.digest
    assert (view.live_count, view.gone_count, view.suspect_count) == (1, 1, 0)
    other.set_record(as_reported(make_record(3, 7, sequence=4), MemberState.GONE, "e0"), 9)
    assert view.digest == other.digest
    assert view.bucket_digests == other.bucket_digests


def test_the_end_of_an_unknown_member_is_not_accepted() -> None:
    view = MembershipView(4)
    assert not view.accepts(make_record(3, 7, state=MemberState.GONE))
    view.set_record(make_record(3, 7), 0)
    view.set_record(as_reported(make_record(3, 7), MemberState.GONE, "x"), 1)
    view.forget("e1")
    assert not view.records
    assert list(view.forgotten_addresses) == ["e1:1"]
    assert view.digest == 0


def test_updates_leave_the_queue_at_the_transmit_limit_and_fit_the_byte_limit() -> None:
    queue = BroadcastQueue(max_bytes=400)
    for number in range(9):
        queue.enqueue(MemberRecord(f"e{number}", "", 0, f"e{number}:1", 1, number))
    taken = [queue.take_batch(3) for _ in range(12)]
    assert all(sum(record.size for record in page) <= 400 for page in taken)
    sent = Counter(record.name for page in taken for record in page)
    assert set(sent.values()) == {3}
    assert len(sent) == 9
    assert not len(queue)
