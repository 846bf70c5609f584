"""The edge proxy on trio: hosts a Driver with its server links, caller listener, endpoint list and clock."""
