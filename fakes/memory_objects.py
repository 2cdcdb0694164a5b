"""In-memory object store with fault switches for each client."""

from fakes.faults import Fault, Faults
from ragwortcourse.storage.objects import (
    ObjectFailed,
    ObjectName,
    ObjectRead,
    ObjectStore,
    ObjectWritten,
)


def build_memory_objects(
    *, objects: dict[ObjectName, bytes], faults: Faults
) -> ObjectStore:
    """Build one client's port to shared objects, with its own faults.

    Reads with ``TRUNCATED`` and ``GARBAGE`` succeed with corrupt content,
    as they can at a real store.
    """

    async def read(name: ObjectName) -> ObjectRead | ObjectFailed:
        fault = faults.take()
        await faults.wait()
        content = objects.get(name)
        if fault is Fault.TRUNCATED and content is not None:
            return ObjectRead(content=content[: len(content) // 2])
        if fault is Fault.GARBAGE:
            return ObjectRead(content=b'\xff garbage')
        if fault in {None, Fault.SLOW}:
            return ObjectRead(content=content)
        return ObjectFailed(detail=f'object store: {fault}')

    async def write(
        name: ObjectName, content: bytes
    ) -> ObjectWritten | ObjectFailed:
        fault = faults.take()
        if fault not in {Fault.REFUSED, Fault.DOWN}:
            objects[name] = content
        await faults.wait()
        if fault in {None, Fault.SLOW}:
            return ObjectWritten()
        return ObjectFailed(detail=f'object store: {fault}')

    return ObjectStore(read=read, write=write)
