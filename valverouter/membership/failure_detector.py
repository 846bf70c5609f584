"""SWIM's failure detector: direct probes, indirect probes through helpers, and probes for requesters."""

from __future__ import annotations

from collections.abc import Callable

from valverouter.membership.dissemination import Dissemination
from valverouter.membership.local_health import LocalHealth
from valverouter.membership.local_node import LocalNode
from valverouter.membership.messages import Ack, Gossip, Nack, Ping, PingReq
from valverouter.membership.probes import Probe, ProbeRotation, ProbeTable
from valverouter.membership.records import MemberRecord, MemberState


class FailureDetector:
    """Probes the other members in rotation.

    `on_failed` is called with the record of a member that didn't answer its probe, and with whether that was
    the final probe.
    """

    def __init__(
        self, node: LocalNode, dissemination: Dissemination, on_failed: Callable[[MemberRecord, bool], None]
    ) -> None:
        """Creates the detector; `start` schedules the first probe."""
        self.probes = ProbeTable(node.draw)
        self.local_health = LocalHealth(node.config)
        self._rotation = ProbeRotation(node.draw)
        self._node = node
        self._dissemination = dissemination
        self._on_failed = on_failed
        self._interval = node.config.probe_period // node.config.probes_per_period

    def start(self) -> None:
        """Schedules the first probe at a random time within the first interval."""
        first = self._node.now + int(self._node.draw() * self._interval)
        self._node.timers.schedule(first, self._probe_next)

    def add_member(self, name: str) -> None:
        """Adds a new member to the current round of probes."""
        self._rotation.add(name)

    def on_stall(self) -> None:
        """Discards open probes, whose targets may have answered during the stall; worsens local health."""
        self.probes.clear()
        self.local_health.degrade()

    # Own probes

    def _probe_next(self) -> None:
        node = self._node
        node.timers.schedule(node.now + self._interval, self._probe_next)
        name = self._rotation.next_target(node.live_peers, node.view.is_live)
        if name is not None:
            self.probe(node.view.records[name])

    def probe(self, record: MemberRecord, is_final: bool = False) -> None:
        """Probes a member; the timeout is one period times the local health's multiplier."""
        node, config = self._node, self._node.config
        timeout = config.probe_period * self.local_health.timeout_multiplier
        deadline = node.now + timeout
        probe = Probe(
            record.name, record.incarnation, record.sequence, record.address, deadline, is_final=is_final
        )
        nonce = self.probes.add(probe)
        updates = self._dissemination.take_updates(_accusation(record))
        node.send(record.address, Ping(*node.header(), nonce, record.incarnation, updates))
        indirect_at = node.now + int(config.indirect_probe_delay_factor * timeout)
        node.timers.schedule(indirect_at, self._probe_indirectly, nonce)
        node.timers.schedule(deadline, self._on_probe_deadline, nonce)

    def _probe_indirectly(self, nonce: int) -> None:
        """Repeats an unanswered ping and requests indirect probes; helpers' paths to the target may work."""
        node = self._node
        probe = self.probes.get(nonce)
        record = node.view.records.get(probe.target) if probe is not None else None
        if probe is None or record is None:
            return
        accusation = _accusation(record)
        header = node.header()
        take_updates = self._dissemination.take_updates
        node.send(probe.address, Ping(*header, nonce, probe.incarnation, take_updates(accusation)))
        for name in node.random_peers(node.config.indirect_probe_count, excluding=probe.target):
            request = PingReq(
                *header, nonce, probe.target, probe.incarnation, probe.address, take_updates(accusation)
            )
            node.send(node.view.records[name].address, request)

    def _on_probe_deadline(self, nonce: int) -> None:
        """Fails the probe if it is still open at its deadline."""
        probe = self.probes.pop(nonce)
        if probe is None:
            return
        record = self._node.view.records.get(probe.target)
        self.local_health.on_probe_failed(probe.helper_answered)
        if record is None or (record.incarnation, record.sequence) != (probe.incarnation, probe.sequence):
            # The target has published a record since the probe began, so the failure isn't evidence against
            # it. When it was, a member with occasional stalls that had refuted a suspicion was declared gone
            # on its next stall.
            return
        if record.is_live:
            self._on_failed(record, probe.is_final)

    # Answers

    def on_nack(self, nack: Nack) -> None:
        """Notes that a helper answered, though the target hasn't answered the helper yet."""
        probe = self.probes.get(nack.nonce)
        if probe is not None and probe.requester is None:
            probe.helper_answered = True

    # Probes for requesters

    def on_ping_req(self, address: str, request: PingReq) -> None:
        """Probes a member for the requester at `address`; sends a nack if there is no answer in time."""
        node, config = self._node, self._node.config
        probe = Probe(
            request.target,
            request.target_incarnation,
            0,
            request.target_address,
            node.now + config.probe_period,
            requester=(address, request.nonce),
        )
        nonce = self.probes.add(probe)
        accusation = tuple(record for record in request.updates if record.name == request.target)
        self._correct_stale_accusation(address, request, accusation)
        updates = accusation or self._dissemination.take_updates()
        node.send(request.target_address, Ping(*node.header(), nonce, request.target_incarnation, updates))
        nack_at = node.now + int(config.indirect_probe_delay_factor * config.probe_period)
        node.timers.schedule(nack_at, self._send_nack, nonce)
        node.timers.schedule(probe.deadline, self.probes.discard, nonce)

    def _correct_stale_accusation(
        self, address: str, request: PingReq, accusation: tuple[MemberRecord, ...]
    ) -> None:
        """Sends the requester the target's refutation if it accuses the target by an older record.

        Without this, a target that stalls at that time would be declared gone because of a suspicion that
        all other members know to be refuted.
        """
        node = self._node
        record = node.view.records.get(request.target)
        if not accusation or record is None or record.incarnation != request.target_incarnation:
            return
        if record.sequence > accusation[0].sequence:
            node.send(address, Gossip(*node.header(), (record,)))

    def relay_ack(self, probe: Probe, ack: Ack) -> None:
        """Forwards an ack to the requester of the probe."""
        if probe.requester is not None:
            address, nonce = probe.requester
            relayed = Ack(*self._node.header(), nonce, ack.member, ack.member_incarnation, ack.updates)
            self._node.send(address, relayed)

    def _send_nack(self, nonce: int) -> None:
        probe = self.probes.get(nonce)
        if probe is not None and probe.requester is not None:
            address, requester_nonce = probe.requester
            self._node.send(address, Nack(*self._node.header(), requester_nonce))


def _accusation(record: MemberRecord) -> MemberRecord | None:
    """Returns the record if it accuses its member, which must receive the accusation to refute it."""
    return record if record.state != MemberState.ALIVE else None
