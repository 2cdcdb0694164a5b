"""Memory and descriptors that untrusted clients may take."""
