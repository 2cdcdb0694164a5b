"""Assembly, start and stop of the daemon of each role."""
