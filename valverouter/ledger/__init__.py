"""Embedded stores (lmdb): the edge proxy's dialogs, the control plane's log, the supervisor's state.

`storage` holds what they share (lock, checksums, replacing a damaged store), `dialog_store` the records of
dialogs, `export` their JSON form.
"""
