"""What a Raft leader knows of the other members: the volatile state of a leader in the paper's figure 2."""

from __future__ import annotations

from dataclasses import dataclass, field

from valverouter.rollout.raft_log import Configuration


@dataclass(slots=True)
class FollowerProgress:
    """How far one member's log is known to agree with the leader's, and when the member answered last.

    `acknowledged_round` is the highest round of the leader's broadcasts that the member has answered.
    """

    next_index: int
    last_response_at: int
    match_index: int = 0
    acknowledged_round: int = 0

    def rewind(self, match_index: int) -> bool:
        """Goes back to what follows `match_index`, by one at least; whether there was a way back to go."""
        next_index = max(1, min(self.next_index - 1, match_index + 1))
        has_moved = next_index < self.next_index
        self.next_index = next_index
        return has_moved


@dataclass(slots=True)
class LeaderState:
    """The progress of every member, by name, the leader's own among them.

    The leader itself needs no messages: its log is the measure, and it has answered every round.
    """

    leader: str
    followers: dict[str, FollowerProgress] = field(default_factory=dict)

    @classmethod
    def begin(cls, leader: str, configuration: Configuration, last_log_index: int, now: int) -> LeaderState:
        """A new leader assumes that every log is as long as its own, and that everyone is there."""
        return cls(leader, {name: FollowerProgress(last_log_index + 1, now) for name in configuration.names})

    def change_members(self, configuration: Configuration, last_log_index: int, now: int) -> None:
        """Takes a new membership over, whose entry is the one at `last_log_index`.

        Members that leave are forgotten: otherwise what a lost disk held would count for the empty disk that
        takes its place.
        """
        names = set(configuration.names)
        for name in self.followers.keys() - names:
            del self.followers[name]
        for name in names - self.followers.keys():
            self.followers[name] = FollowerProgress(last_log_index, now)

    def is_quorum_in_contact(self, configuration: Configuration, now: int, timeout: int) -> bool:
        """Whether a majority has answered within `timeout`."""
        in_contact = sum(
            name == self.leader or now - self.followers[name].last_response_at < timeout
            for name in configuration.names
        )
        return in_contact >= configuration.quorum_size

    def is_replicated(self, index: int, configuration: Configuration, last_log_index: int) -> bool:
        """Whether a majority has the entry at `index` on disk."""
        replicas = sum(
            index <= (last_log_index if name == self.leader else self.followers[name].match_index)
            for name in configuration.names
        )
        return replicas >= configuration.quorum_size

    def acknowledged_round(self, configuration: Configuration, current_round: int) -> int:
        """The highest round that a majority has answered."""
        rounds = [
            current_round if name == self.leader else self.followers[name].acknowledged_round
            for name in configuration.names
        ]
        return sorted(rounds, reverse=True)[configuration.quorum_size - 1]

    def on_response(self, name: str, round_number: int, now: int) -> FollowerProgress:
        """Notes that a member has answered, and returns its progress."""
        follower = self.followers[name]
        follower.last_response_at = now
        follower.acknowledged_round = max(follower.acknowledged_round, round_number)
        return follower
