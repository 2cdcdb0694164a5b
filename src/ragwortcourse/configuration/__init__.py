"""What operators decide, and how every daemon comes to hold it."""
