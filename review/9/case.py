"""Clients send bodies that are well inside `max_body_bytes`."""

import asyncio
import os

from review import rig

# An eighth of `max_body_bytes`; small bodies in the calm run.
BODY_BYTES = 524_288 if rig.TROUBLE else 4_096
UPLOADS = 60
PAUSE_SECONDS = 0.25
USUAL_PER_SECOND = 60
# Statuses that DENIED leaves out.
LEFT_OUT = (408, 421, 429)


async def main(record):
    """Send requests with bodies; count those that are denied."""
    fleet = rig.Fleet(record=record)
    fleet.put_config(
        rig.make_route('lookups'), rig.make_route('orders', 'non_idempotent')
    )
    ran = set()
    try:
        await fleet.open('near-a', 'near-a', 'near-b')
        clients = rig.Clients(fleet=fleet, record=record)

        def note_run(worker, attempt, path):
            ran.add(attempt)
            if attempt.startswith('b'):
                record.note('runs', attempt=attempt, worker=worker.name)

        for number, zone in enumerate(('near-a', 'near-b', 'near-b'), start=1):
            worker = rig.Worker(fleet=fleet, name=f'w-{number}', zone=zone)
            worker.note_run = note_run
            await worker.start()
        await asyncio.sleep(1)
        usual = clients.spawn(clients.send_usual(USUAL_PER_SECOND))
        await asyncio.sleep(1)
        for number in range(UPLOADS):
            kind = ('orders', 'lookups')[number % 2]
            attempt = f'b{number:03d}'
            body = os.urandom(BODY_BYTES)
            clients.spawn(clients.ask(attempt, f'/{kind}/{attempt}', body=body))
            await asyncio.sleep(PAUSE_SECONDS)
        usual.cancel()
        await clients.finish()
    finally:
        await fleet.close()
    record.say(f'usual requests by status: {clients.count("u")}')
    record.say(
        f'requests with {BODY_BYTES} bytes by status: {clients.count("b")}'
    )
    total = len(clients.statuses)
    denied = [
        attempt
        for attempt, status in clients.statuses.items()
        if 300 <= status < 500 and status not in LEFT_OUT and attempt not in ran
    ]
    allowed = 5 + total / 500
    record.say(
        f'{len(denied)} of {total} requests ended with a 3xx or 4xx of the '
        f'system itself; the rule allows {allowed:.1f}'
    )
    if not clients.count('u').get(200):
        raise rig.UnableError('no request was served')
    return rig.BROKEN if len(denied) > allowed else rig.HELD


if __name__ == '__main__':
    rig.run_case(main, __file__)
