"""
review.4.case
~~~~~~~~~~~~~

A restarted daemon sends requests to an outdated adapter long after its newer version
was acknowledged.
"""

import asyncio
from pathlib import Path

from review.harness import (
    BOUNDS,
    MODEL,
    CannotRunError,
    has_trouble,
    play,
    running_deployment,
)

DAEMONS = 3
REPLICAS = 2
ADAPTERS = [f"a{number}" for number in range(1, 13)]
UNUSED_SECONDS = 9.0  # without requests for the adapters, before the announcement
VERSION_SECONDS = BOUNDS["version_ms"] / 1000
STABLE_SECONDS = BOUNDS["stableWindowMs"] / 1000
AFTER_ACKNOWLEDGEMENT_SECONDS = VERSION_SECONDS + 1.0
RESTART_SECONDS = 0.5  # between the end of a process and its next start
FIRST_SECONDS = STABLE_SECONDS + 0.01  # after the restart, for the first request
PAUSE_SECONDS = 0.03  # between two requests
OLD, NEW = 1, 2


class Versions:
    """Notes on which version of its adapter each request begins to run."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.by_request = {}
        for replica in deployment.replicas:
            self._watch(replica)

    def _watch(self, replica):
        answer = replica._answer

        async def note(connection, base, attempt_id, headers, model):
            adapter = headers["x-model"].partition("/")[2]
            version = replica.engine.adapters[adapter]
            self.by_request[attempt_id] = version
            self._deployment.record.write(
                "begun",
                request=attempt_id,
                at=replica.name,
                adapter=adapter,
                version=version,
            )
            await answer(connection, base, attempt_id, headers, model)

        replica._answer = note


async def load_adapters(deployment):
    """Have each adapter loaded and used once."""
    for adapter in ADAPTERS:
        for _ in range(20):
            _, status = await deployment.request(deployment.daemons[1], adapter)
            if status == 200:
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRunError(f"{adapter} is not served")


def announce_versions(deployment):
    """Name a newer version of each adapter, which the store acknowledges at once."""
    for adapter in ADAPTERS:
        spec = {"model": MODEL, "adapter": adapter, "version": NEW}
        deployment.store.put("versions", f"{MODEL}.{adapter}", spec)
    for replica in deployment.replicas:
        replica.engine.newest_versions = dict.fromkeys(ADAPTERS, NEW)
    deployment.record.write("acknowledged", version=NEW, adapters=len(ADAPTERS))
    return deployment.record.now()


async def case(record):
    """Return the requests that began on an outdated adapter."""
    async with running_deployment(record, DAEMONS, REPLICAS) as deployment:
        daemon = deployment.daemons[0]
        versions = Versions(deployment)
        await load_adapters(deployment)
        await asyncio.sleep(UNUSED_SECONDS)
        acknowledged = announce_versions(deployment)
        await asyncio.sleep(AFTER_ACKNOWLEDGEMENT_SECONDS)
        if has_trouble():
            daemon.kill()
            record.write("killed", daemon=daemon.name)
            await asyncio.sleep(RESTART_SECONDS)
            daemon.start()
            record.write("started", daemon=daemon.name)
        started = record.now()
        await deployment.until_ready(daemon)
        tasks = {}
        sent = {}
        for number, adapter in enumerate(ADAPTERS):
            due = started + FIRST_SECONDS + number * PAUSE_SECONDS
            await asyncio.sleep(max(0.0, due - record.now()))
            sent[adapter] = record.now()
            tasks[adapter] = asyncio.create_task(deployment.request(daemon, adapter))
        served = 0
        broken = []
        for adapter, task in tasks.items():
            name, status = await task
            served += status == 200
            age, calm = sent[adapter] - acknowledged, sent[adapter] - started
            is_due = age > VERSION_SECONDS and calm > STABLE_SECONDS
            if is_due and versions.by_request.get(name) == OLD:
                broken.append(
                    f"VERSION: {name} began on version {OLD} of {adapter}, sent "
                    f"{age:.2f} s after version {NEW} was acknowledged and "
                    f"{calm:.2f} s after the start of {daemon.name}"
                )
        if not served:
            raise CannotRunError("no request was served")
        return broken


if __name__ == "__main__":
    play(case, Path(__file__).parent)
