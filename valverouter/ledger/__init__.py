"""Embedded lmdb stores: the edge proxy's dialogs, the control plane's raft log, the supervisor's state.

`storage` has the common functions (lock, checksums, replacement of a damaged store), `dialog_store` stores
the records of dialogs, `export` converts them to JSON.
"""
