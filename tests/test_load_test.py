"""Tests of the load test: search for the highest rate, latencies from the due time, a run on sockets."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
import trio
from trio.testing import MockClock

from tests.test_scenarios import valverouter
from valverouter.config.scenario import load_scenario
from valverouter.load_test.drive import LoadFailedError, drive, traffic_of
from valverouter.load_test.measure import LoadSample
from valverouter.load_test.rate_search import highest_rate
from valverouter.signalling import setup
from valverouter.signalling.greeting import Hello, Welcome

MS, SECOND = 10**6, 10**9
LOAD = Path(__file__).parent.parent / "deploy" / "days" / "load.ini"


@pytest.mark.parametrize("limit", [19, 20, 21, 55, 333, 4_000, 10**6])
async def test_the_highest_rate_is_found_to_five_percent(limit: int, autojump_clock: MockClock) -> None:
    tried_rates = []

    async def is_sustained(rate: float) -> bool:
        tried_rates.append(rate)
        return rate <= limit

    found = await highest_rate(is_sustained, 20, 10_000)
    if limit < 20:
        assert found == 0
        assert tried_rates == [20]
    elif limit >= 10_000:
        assert found == 10_000
    else:
        assert limit / 1.06 <= found <= limit
    assert len(tried_rates) < 25


async def test_a_rate_that_was_sustained_by_chance_is_lowered_until_it_is_again(
    autojump_clock: MockClock,
) -> None:
    chance = random.Random(3)

    async def is_sustained(rate: float) -> bool:
        return rate < 500 or (rate < 1_000 and chance.random() < 0.3)

    found = [await highest_rate(is_sustained, 20, 10_000) for _ in range(30)]
    assert all(400 <= rate < 1_000 for rate in found)
    assert sorted(found)[15] < 700


def test_latencies_count_from_when_a_dialog_was_due_and_unanswered_ones_count_as_misses() -> None:
    sample = LoadSample(10, offered=100)
    for at in range(99):
        sample.record_established(at * 10 * MS, at * 10 * MS + (5 if at < 98 else 900) * MS)
    assert sample.established == 99
    assert sample.latency_percentile(50) == pytest.approx(5, rel=0.01)
    assert sample.latency_percentile(99.9) == pytest.approx(900, rel=0.01)
    assert sample.meets(100 * MS, 0.98)
    assert not sample.meets(100 * MS, 0.99)
    assert sample.meets(SECOND, 0.99)
    assert not LoadSample(1).meets(SECOND, 0.5)


def test_traffic_types_have_their_shares() -> None:
    day = load_scenario(LOAD.parent / "bad-day.ini")
    kinds = [traffic_of(day, serial)[0] for serial in range(1_000)]
    total = sum(mix.share for mix in day.mix.values())
    for kind, mix in day.mix.items():
        assert kinds.count(kind) / 1_000 == pytest.approx(mix.share / total, abs=0.01)


async def test_a_stalled_target_delays_the_dialogs_that_were_due_meanwhile() -> None:
    """The target stalls for 300 ms; the latencies of dialogs due meanwhile count from their due times."""
    day = load_scenario(LOAD)

    async def serve(stream: trio.SocketStream) -> None:
        session, is_delayed = setup.SetupSession(), False
        while data := await stream.receive_some(65_536):
            for message in session.receive(data):
                if isinstance(message, Hello):
                    await stream.send_all(session.send(Welcome(1, "slow")))
                elif isinstance(message, setup.Setup):
                    if not is_delayed and message.dialog.endswith("-20"):
                        is_delayed = True
                        await trio.sleep(0.3)
                    await stream.send_all(session.send(setup.Established(message.dialog)))
                elif isinstance(message, setup.Release):
                    await stream.send_all(session.send(setup.Ended(message.dialog)))

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        sample = await drive(f"127.0.0.1:{port}", day, 100, 1.0)
        nursery.cancel_scope.cancel()
    assert (sample.offered, sample.established, sample.unanswered) == (100, 100, 0)
    assert sample.latency_percentile(99.9) >= 295
    assert sample.latency_percentile(90) > 100, "a quarter of the dialogs was due while the target stalled"


async def test_a_run_fails_when_the_target_closes_the_connection() -> None:
    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(10)
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        with pytest.raises(ExceptionGroup) as caught:
            await drive(f"127.0.0.1:{port}", load_scenario(LOAD), 100, 1.0)
        assert caught.group_contains(LoadFailedError)
        nursery.cancel_scope.cancel()


def test_a_real_edge_proxy_answers_all_offered_dialogs(tmp_path: Path) -> None:
    histogram = tmp_path / "delays.txt"
    ran = valverouter("load", str(LOAD), "--rate", "60", "--seconds", "1", "--histogram", str(histogram))
    assert ran.returncode == 0, ran.stderr
    assert "60/s: 60 offered" in ran.stdout
    assert "0 unanswered" in ran.stdout
    assert "Percentile" in histogram.read_text()
