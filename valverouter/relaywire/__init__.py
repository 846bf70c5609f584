"""The operators' platform as codecs without I/O: callers' binary messages, servers' lines, the event bus."""
