"""What an instance believes of the others of its fleet: pure, with time and chance handed in."""
