"""What instances say to each other, carried: datagrams, their seal, and questions. Decides nothing."""
