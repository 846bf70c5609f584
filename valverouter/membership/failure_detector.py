"""SWIM's failure detector: direct probes, indirect probes through helpers, and probes on others' behalf."""

from __future__ import annotations

from collections.abc import Callable

from valverouter.membership.dissemination import Dissemination
from valverouter.membership.local_health import LocalHealth
from valverouter.membership.local_node import LocalNode
from valverouter.membership.messages import Ack, Gossip, Nack, Ping, PingReq
from valverouter.membership.probes import Probe, ProbeRotation, ProbeTable
from valverouter.membership.records import MemberRecord, MemberState


class FailureDetector:
    """Probes other members in turn.

    `on_failed` receives the record of a member that did not answer, and whether that was its final probe.
    """

    def __init__(
        self, node: LocalNode, dissemination: Dissemination, on_failed: Callable[[MemberRecord, bool], None]
    ) -> None:
        """Prepares the detector; `start` schedules the first probe."""
        self.probes = ProbeTable(node.draw)
        self.local_health = LocalHealth(node.config)
        self._rotation = ProbeRotation(node.draw)
        self._node = node
        self._dissemination = dissemination
        self._on_failed = on_failed
        self._interval = node.config.probe_period // node.config.probes_per_period

    def start(self) -> None:
        """Schedules the first probe at a random moment of the first interval."""
        first = self._node.now + int(self._node.draw() * self._interval)
        self._node.timers.schedule(first, self._probe_next)

    def add_member(self, name: str) -> None:
        """A new member, to be probed within the present round."""
        self._rotation.add(name)

    def on_stall(self) -> None:
        """This process did not run for a while: open probes prove nothing against their targets."""
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
        """Probes a member; without an answer within one period (times the local health) it has failed."""
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
        """No answer yet: repeats the ping, and asks helpers, whose own paths may work."""
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
        """The deadline of a probe: if it is still open, it has failed."""
        probe = self.probes.pop(nonce)
        if probe is None:
            return
        record = self._node.view.records.get(probe.target)
        self.local_health.on_probe_failed(probe.helper_answered)
        if record is None or (record.incarnation, record.sequence) != (probe.incarnation, probe.sequence):
            # It has published a record since the probe began. Counted as a failure all the same, a refuted
            # suspicion became a death when a member that stalls now and then stalled again.
            return
        if record.is_live:
            self._on_failed(record, probe.is_final)

    # Answers

    def on_nack(self, nack: Nack) -> None:
        """A helper runs, and has not reached the target."""
        probe = self.probes.get(nack.nonce)
        if probe is not None and probe.requester is None:
            probe.helper_answered = True

    # Probes on others' behalf

    def on_ping_req(self, address: str, request: PingReq) -> None:
        """Probes a member on behalf of the one at `address`, who gets a nack if no answer comes soon."""
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
        """The requester may have missed a refutation.

        Otherwise a member that stalls just then would be declared gone on a suspicion that all others know to
        be refuted.
        """
        node = self._node
        record = node.view.records.get(request.target)
        if not accusation or record is None or record.incarnation != request.target_incarnation:
            return
        if record.sequence > accusation[0].sequence:
            node.send(address, Gossip(*node.header(), (record,)))

    def relay_ack(self, probe: Probe, ack: Ack) -> None:
        """Passes the answer to a probe on to its requester."""
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
    """The record where it accuses its member, who must receive it to refute it."""
    return record if record.state != MemberState.ALIVE else None
