"""A Raft leader's replication progress per member: its volatile state in figure 2 of the paper."""

from __future__ import annotations

from dataclasses import dataclass, field

from valverouter.rollout.raft_log import Configuration


@dataclass(slots=True)
class FollowerProgress:
    """How far one member's log is known to match the leader's.

    `last_response_at`: time of the member's last response, ns. `acknowledged_round`: the highest round of the
    leader's broadcasts that the member has responded to.
    """

    next_index: int
    last_response_at: int
    match_index: int = 0
    acknowledged_round: int = 0

    def rewind(self, match_index: int) -> bool:
        """Moves `next_index` back to `match_index + 1`, by at least one; returns whether it moved."""
        next_index = max(1, min(self.next_index - 1, match_index + 1))
        has_moved = next_index < self.next_index
        self.next_index = next_index
        return has_moved


@dataclass(slots=True)
class LeaderState:
    """The progress of all members by name, including the leader.

    The leader's own entry is not used: its log is the reference, and it counts as having acknowledged every
    round.
    """

    leader: str
    followers: dict[str, FollowerProgress] = field(default_factory=dict)

    @classmethod
    def begin(cls, leader: str, configuration: Configuration, last_log_index: int, now: int) -> LeaderState:
        """The state of a new leader, which assumes full replication and contact with all members."""
        return cls(leader, {name: FollowerProgress(last_log_index + 1, now) for name in configuration.names})

    def change_members(self, configuration: Configuration, last_log_index: int, now: int) -> None:
        """Adopts a new membership, whose log entry is the one at `last_log_index`.

        The progress of removed members is deleted: otherwise the entries acknowledged by a lost disk would be
        counted for the empty disk that replaces it.
        """
        names = set(configuration.names)
        for name in self.followers.keys() - names:
            del self.followers[name]
        for name in names - self.followers.keys():
            self.followers[name] = FollowerProgress(last_log_index, now)

    def is_quorum_in_contact(self, configuration: Configuration, now: int, timeout: int) -> bool:
        """Whether a majority has responded within the last `timeout` ns."""
        in_contact = sum(
            name == self.leader or now - self.followers[name].last_response_at < timeout
            for name in configuration.names
        )
        return in_contact >= configuration.quorum_size

    def is_replicated(self, index: int, configuration: Configuration, last_log_index: int) -> bool:
        """Whether a majority has stored the entry at `index`."""
        replicas = sum(
            index <= (last_log_index if name == self.leader else self.followers[name].match_index)
            for name in configuration.names
        )
        return replicas >= configuration.quorum_size

    def acknowledged_round(self, configuration: Configuration, current_round: int) -> int:
        """The highest round that a majority has acknowledged."""
        rounds = [
            current_round if name == self.leader else self.followers[name].acknowledged_round
            for name in configuration.names
        ]
        return sorted(rounds, reverse=True)[configuration.quorum_size - 1]

    def on_response(self, name: str, round_number: int, now: int) -> FollowerProgress:
        """Records a member's response and returns its progress."""
        follower = self.followers[name]
        follower.last_response_at = now
        follower.acknowledged_round = max(follower.acknowledged_round, round_number)
        return follower
