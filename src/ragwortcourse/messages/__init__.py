"""Messages and ports between the project's processes."""
