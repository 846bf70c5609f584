"""The fleet's processes and their datagrams.

`membership_service` runs an edge proxy's part in the membership protocol, `raft_server` a node of the control
plane, `supervisor_service` the supervision of one instance; `client` and `operations_client` are the
operators' side. What they decide is in `valverouter.membership` and `valverouter.rollout`; here it is carried
over sockets, disks and processes.
"""
