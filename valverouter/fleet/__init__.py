"""The fleet's processes and their datagram protocols.

`membership_service` runs the membership protocol beside an edge proxy, `raft_server` a node of the control
plane, and `supervisor_service` the supervisor of one instance; `client` and `operations_client` are the
operators' clients. Decisions are made in `valverouter.membership` and `valverouter.rollout`, which do no I/O;
this package connects them to sockets, disks and processes.
"""
