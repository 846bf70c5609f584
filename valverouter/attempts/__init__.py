"""Attempt policies: matching of rules to dialogs, the worst case of a policy, and a guard over changes.

Pure decision code: no I/O and no clock of its own. Times are integer nanoseconds that the caller passes in.
"""
