"""Fleet membership without I/O: SWIM failure detection with Lifeguard's local health, and anti-entropy.

Time, randomness and datagrams are handed in by the caller, so the same code runs on sockets, in virtual time,
on the emulator and under the explicit-state model. `membership.Membership` is the entry point.
"""
