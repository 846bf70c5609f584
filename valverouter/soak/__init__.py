"""A soak of real edge proxy processes on loopback: courses drawn by seed, judged from the sockets."""
