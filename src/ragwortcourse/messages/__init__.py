"""What the project's own processes say to each other."""
