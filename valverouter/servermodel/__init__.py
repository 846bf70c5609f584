"""Models of signalling servers, call arrivals and network paths.

They do no I/O; the time and the random draws are passed in.
"""
