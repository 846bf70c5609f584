"""Fleet membership without I/O: SWIM failure detection with Lifeguard's local health, and anti-entropy.

The caller supplies time, random numbers and datagrams, so the same code runs on sockets, in virtual time, on
the emulator and under the explicit-state model. `membership.Membership` is the entry point.
"""
