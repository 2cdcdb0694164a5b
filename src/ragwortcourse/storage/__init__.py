"""The table service and the object store, as ports and over HTTP."""
