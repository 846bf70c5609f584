"""The check of the views that a day's edge proxies have had."""

from __future__ import annotations

from typing import Any

from tests.membership_service_rig import SECOND
from valverouter.audit.views import judge_views
from valverouter.signalling import tap
from valverouter.signalling.tap import Fault, Found, Ran, Settles, Viewed


def judge(*rows: tuple[type, dict[str, Any]]) -> Any:
    trace = tap.Tap(lambda: 0)
    for second, (kind, fields) in enumerate(rows):
        trace.now = lambda second=second: second * SECOND  # type: ignore[misc]
        trace.row(kind, **fields)
    return judge_views(trace.rows)


def ran(edge: str, life: str, begins: bool = True) -> tuple[type, dict[str, Any]]:
    return Ran, {"edge": edge, "life": life, "begins": begins}


def viewed(edge: str, life: str, digest: str, **members: str) -> tuple[type, dict[str, Any]]:
    return Viewed, {"edge": edge, "life": life, "digest": digest, "trust": "settled", "members": members}


def test_each_violation_is_found_and_a_sound_record_is_kept() -> None:
    begin = (Settles, {"within": 3 * SECOND, "every": 0})
    both = [ran("e0", "a"), ran("e1", "b"), begin]
    good = [viewed("e0", "a", "x", e0="a", e1="b"), viewed("e1", "b", "x", e0="a", e1="b")]
    assert judge(*both, *good).kept
    assert judge(*both, good[0], viewed("e1", "b", "y", e0="a", e1="b")).settled_after is None
    assert judge(*both, good[0], viewed("e1", "b", "x", e1="b")).settled_after is None
    assert judge(*both, good[0]).settled_after is None, "one was never heard of"
    assert not judge(*both, *[good[0]] * 9, good[1]).kept, "too late"
    fresh = [ran("e1", "b", False), ran("e1", "c"), viewed("e0", "a", "x", e0="a", e1="c")]
    back = judge(*both, *good, *fresh, good[0])
    assert back.gone_back == (("e0", "e1"),)
    wrong = (Found, {"edge": "e0", "life": "a", "what": "gone", "member": "e1", "member_life": "b"})
    assert judge(*both, *good, wrong).false_deaths == (("e0", "e1"),)
    cut = (Fault, {"until": 60 * SECOND, "kind": "path-cut", "target": "paths"})
    assert judge(*both, cut, *good, wrong).false_deaths == ()
