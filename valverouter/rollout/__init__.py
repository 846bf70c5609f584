"""The control plane without I/O: limits, permits with fencing tokens, Raft, and the orchestrator."""
