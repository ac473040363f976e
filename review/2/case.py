"""
review.2.case
~~~~~~~~~~~~~

A part of a prompt that crashes each replica as it begins to write its answer is never
refused if the first event of that answer gets out.
"""

import asyncio
from pathlib import Path

from review.harness import (
    BOUNDS,
    CannotRunError,
    has_trouble,
    play,
    running_deployment,
)
from standins import replica as replica_module

DAEMONS = 3
REPLICAS = 5
SECONDS = 20.0
SOUND_PER_SECOND = 20.0
DEADLY_EVERY = 20  # requests, which is a share of 0.05
DEADLY_PART = "91bd3f06"
CRASH_AFTER_SECONDS = 0.02  # from the first event, as long as a few steps take
replica_module.RESTART_SECONDS = 3.0  # "back after some seconds"
STABLE_SECONDS = BOUNDS["stableWindowMs"] / 1000
COUNTED_CRASHES = 5
ALLOWED_REQUESTS = 3


class Deadly:
    """Makes replicas crash under `DEADLY_PART`; notes crashes and arrivals."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.crashes = []
        self.arrivals = []
        for replica in deployment.replicas:
            self._watch(replica)

    def _watch(self, replica):
        record = self._deployment.record
        run, stream = replica._run, replica._stream

        async def note_arrival(request, connection):
            headers = {k.decode(): v.decode() for k, v in request.headers}
            if DEADLY_PART in headers.get("x-prompt-prefix", ""):
                self.arrivals.append(record.now())
                name = headers["x-attempt-id"]
                record.write("deadly request arrives", request=name, at=replica.name)
            await run(request, connection)

        async def crash_under_part(connection, headers, request_headers):
            if DEADLY_PART not in request_headers.get("x-prompt-prefix", ""):
                await stream(connection, headers, request_headers)
                return
            await asyncio.sleep(replica_module.PREFILL_SECONDS)
            first = int(request_headers.get("last-event-id") or 0) + 1
            connection.write_head(200, headers)
            connection.write(f"id: {first}\ndata: piece {first}\n\n".encode())
            await asyncio.sleep(CRASH_AFTER_SECONDS)
            self.crashes.append(record.now())
            record.write("crash", of=replica.name)
            replica._crash()

        replica._run = note_arrival
        replica._stream = crash_under_part
        replica.on_restart = self._deployment.announce


async def case(record):
    """Return how many deadly requests came too late after the fifth crash."""
    async with running_deployment(record, DAEMONS, REPLICAS) as deployment:
        deadly = Deadly(deployment)
        sound, tasks = [], []
        for number in range(int(SECONDS * SOUND_PER_SECOND)):
            daemon = deployment.daemons[number % DAEMONS]
            sound.append(asyncio.create_task(deployment.request(daemon)))
            if has_trouble() and number % DEADLY_EVERY == 0:
                request = deployment.request(daemon, part=DEADLY_PART)
                tasks.append(asyncio.create_task(request))
            await asyncio.sleep(1.0 / SOUND_PER_SECOND)
        await asyncio.gather(*tasks)
        served = sum([(await one)[1] == 200 for one in sound])
        record.write("sound requests", served=served, sent=len(sound))
        record.write("crashes", count=len(deadly.crashes))
        if not served:
            raise CannotRunError("no sound request was served")
        if len(deadly.crashes) < COUNTED_CRASHES:
            return []
        counted = deadly.crashes[COUNTED_CRASHES - 1] + STABLE_SECONDS
        late = sum(at > counted for at in deadly.arrivals)
        if late <= ALLOWED_REQUESTS:
            return []
        return [
            f"BUDGET: {late} requests with the part reached replicas later than "
            f"{STABLE_SECONDS} s after the fifth crash; {len(deadly.crashes)} crashes; "
            f"{served} of {len(sound)} sound requests were served"
        ]


if __name__ == "__main__":
    play(case, Path(__file__).parent)
