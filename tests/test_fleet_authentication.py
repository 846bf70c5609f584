"""Authenticated datagrams: keys, replays, protocol versions, malformed bodies and maximum sizes."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.membership_service_harness import KEY, OTHER_KEY, ping
from valverouter.fleet.authentication import (
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    Authenticator,
    DatagramReader,
    Envelope,
    MessageTooLongError,
    _digest,
)
from valverouter.fleet.queries import MemberRow, ViewPage, ViewQuery
from valverouter.fleet.replay_window import ReplayWindow
from valverouter.fleet.view_pages import paginate
from valverouter.membership.config import MembershipConfig
from valverouter.membership.messages import Gossip, PingReq, SyncDigests
from valverouter.membership.records import MemberRecord, MemberState


def test_datagrams_under_the_current_or_the_previous_key_are_accepted() -> None:
    datagram = Authenticator((OTHER_KEY,)).sign(ping())
    reader = DatagramReader(Authenticator((KEY, OTHER_KEY)))
    assert reader.read(datagram) == ping()
    assert DatagramReader(Authenticator((KEY,))).read(datagram) is None
    for position in range(len(datagram)):
        tampered = bytearray(datagram)
        tampered[position] ^= 1
        assert reader.read(bytes(tampered)) is None, f"byte {position}"
    assert set(reader.dropped) == {"stranger"}


def test_a_replay_is_dropped_and_counted_and_a_reordered_datagram_is_not() -> None:
    authenticator, reader = Authenticator((KEY,)), DatagramReader(Authenticator((KEY,)))
    datagrams = [authenticator.sign(ping(nonce=index)) for index in range(4)]
    for index in (0, 2, 1, 3):
        assert reader.read(datagrams[index]) is not None
    for index in range(4):
        assert reader.read(datagrams[index]) is None
    assert reader.dropped == {"replay": 4}


@settings(max_examples=60, deadline=None)
@given(st.lists(st.integers(1, 3_000), max_size=120))
def test_the_replay_window_accepts_no_counter_twice(counters: list[int]) -> None:
    window = ReplayWindow()
    accepted = [counter for counter in counters if window.accept(5, counter)]
    assert len(accepted) == len(set(accepted))
    if counters:
        assert max(counters) in accepted


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=1_500))
def test_arbitrary_bytes_are_dropped(data: bytes) -> None:
    reader, authenticator = DatagramReader(Authenticator((KEY,))), Authenticator((KEY,))
    assert reader.read(data) is None
    prefix = bytes((PROTOCOL_VERSION,)) + authenticator._key_id
    assert reader.read(prefix + _digest(KEY, prefix, data) + data) is None, "also with a valid digest"
    assert sum(reader.dropped.values()) == 2


def test_datagrams_of_another_protocol_version_are_dropped_and_reported_once() -> None:
    authenticator, reader = Authenticator((KEY,)), DatagramReader(Authenticator((KEY,)))
    body = msgspec.msgpack.encode(Envelope(1, ping()))
    prefix = bytes((PROTOCOL_VERSION + 1,)) + authenticator._key_id
    for _ in range(3):
        assert reader.read(prefix + _digest(KEY, prefix, body) + body) is None
    assert reader.unknown_versions == [PROTOCOL_VERSION + 1]
    assert reader.dropped == {"version": 3}


NAME = "n" * 128
ADDRESS = "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
MAX_UINT64 = 2**64 - 1


def longest_record() -> MemberRecord:
    previous = (2**63,) * 3
    return MemberRecord(NAME, "r" * 64, 9, ADDRESS, 2**60, 2**63, 9, previous_incarnations=previous)


def longest_row() -> MemberRow:
    place = "r" * 64, 0, ADDRESS
    return MemberRow(
        NAME, *place, 2**60, 2**63, MemberState.ALIVE, 2**40, "9" * 32, "c" * 8, 0, name_conflict=False
    )


def test_the_longest_messages_fit_a_datagram_and_longer_ones_raise() -> None:
    authenticator = Authenticator((KEY,))
    record = longest_record()
    head = NAME, MAX_UINT64, MAX_UINT64
    digests = SyncDigests(*head, (MAX_UINT64,) * 64, (record,))
    assert len(authenticator.sign(digests)) <= MAX_DATAGRAM_BYTES
    updates = (record,) * (MembershipConfig().max_update_bytes // record.size)
    ping_req = PingReq(*head, MAX_UINT64, NAME, MAX_UINT64, ADDRESS, updates)
    assert len(authenticator.sign(ping_req)) <= MAX_DATAGRAM_BYTES
    reasons = ("oversize", "stranger", "version", "rubbish", "replay")
    counts = {f"dropped-{reason}": 2**40 for reason in reasons}
    for index, rows in enumerate(paginate([longest_row()] * 20)):
        page_counts = counts if index == 0 else {}
        page = ViewPage(*head, MAX_UINT64, index, 99, "unsettled", page_counts, rows)
        assert len(authenticator.sign(page)) <= MAX_DATAGRAM_BYTES
    with pytest.raises(MessageTooLongError):
        authenticator.sign(Gossip(*head, (record,) * 9))


def test_a_query_has_no_name_and_is_short() -> None:
    query = ViewQuery("", 5, 0, 1, 0)
    assert len(Authenticator((KEY,)).sign(query)) < HEADER_BYTES + 40
    assert dataclasses.is_dataclass(MembershipConfig)
