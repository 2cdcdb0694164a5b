"""Ports to the table service and the object store, with HTTP adapters."""
