"""
review.5.case
~~~~~~~~~~~~~

Streams of a sound replica that falls silent for a second are given up for another
replica that has no room for them, and then cut.
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

DAEMONS = 3
REPLICAS = 2
STREAMS = 30
START_PAUSE_SECONDS = 0.01  # between the starts of two streams
EVENT_PAUSE_SECONDS = 0.2
SILENT_SECONDS = 1.4  # "for a second or so"
FULL_AFTER_SECONDS = 0.2  # from the start of the last stream
CALM_SECONDS = BOUNDS["stableWindowMs"] / 1000 + 0.5  # after the start of all processes
PLANNED_SECONDS = BOUNDS["configApplyMs"] / 1000  # after SIGHUP


async def case(record):
    """Return the streams that were cut though their replica was sound."""
    async with running_deployment(record, DAEMONS, REPLICAS) as deployment:
        daemon = deployment.daemons[0]
        silent, full = deployment.replicas
        _, status = await deployment.request(daemon)
        if status != 200:
            raise CannotRunError("the first request is not served")
        await asyncio.sleep(CALM_SECONDS)
        for replica in deployment.replicas:
            replica.faults.slow_events = EVENT_PAUSE_SECONDS
        if has_trouble():
            silent.faults.silences = STREAMS
            silent.faults.silent_seconds = SILENT_SECONDS
        daemon.hang_up()
        hung_up = record.now()
        record.write("SIGHUP", daemon=daemon.name)
        tasks = []
        for _ in range(STREAMS):
            tasks.append(asyncio.create_task(deployment.request(daemon)))
            await asyncio.sleep(START_PAUSE_SECONDS)
        started = record.now()
        await asyncio.sleep(FULL_AFTER_SECONDS)
        # It goes on with the streams that it runs, and has no room for more.
        full.faults.sheds = 10**6
        record.write("full", replica=full.name)
        results = [await task for task in tasks]
        for replica in deployment.replicas:
            runs = [one.id for one in replica.requests if one.has_run]
            rejected = [one.id for one in replica.requests if not one.has_run]
            record.write("replica", name=replica.name, ran=runs, rejected=rejected)
        if started - hung_up > PLANNED_SECONDS:
            raise CannotRunError("the streams were sent too late after SIGHUP")
        cut = [name for name, status in results if status == 0]
        if not cut:
            return []
        return [
            f"LOST: {len(cut)} of {STREAMS} streams ended without a complete answer, "
            f"sent within {PLANNED_SECONDS} s of {daemon.name}'s SIGHUP: {cut}"
        ]


if __name__ == "__main__":
    play(case, Path(__file__).parent)
