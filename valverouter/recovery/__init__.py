"""Recovery of the dialogs of a killed edge proxy process after its restart.

Pure functions without I/O: `lifecycle` (the state machine of a dialog's record), `plan` (the recovery action
for a record), `pacing` (the rate of status queries to servers), `learned_state` (the learned state of servers
that is kept over a restart), `model` (a model check of `lifecycle` and `plan`).
"""
