"""Recovery after a restart: what each dialog of a killed process needs.

Pure decisions without I/O: `lifecycle` (a record's state machine), `plan` (what a record needs), `pacing`
(how fast servers are asked), `learned_state` (what of a server's state outlives a restart), `model` (a model
check of the first two).
"""
