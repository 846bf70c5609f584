"""The list service lets servers leave by current permit numbers only."""

from __future__ import annotations

from valverouter.signalling.serverlist import Leave, Permits, Returns


def test_the_list_service_refuses_a_leave_without_a_current_permit_number() -> None:
    permits = Permits()
    assert permits.why_not(Leave("s0", 0)) == "no permit's number was given"
    assert permits.why_not(Leave("s0", 7)) == "" == permits.why_not(Leave("s0", 7))
    assert "older than 7" in permits.why_not(Leave("s0", 6))
    assert permits.why_not(Leave("s1", 6)) == "", "each server has its own"
    permits.over(Returns("s0", 7))
    assert permits.why_not(Leave("s0", 7)) == "permit 7 is over"
    permits.over(Returns("s0", 3))
    assert permits.why_not(Leave("s0", 8)) == ""
