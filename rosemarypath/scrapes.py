"""
rosemarypath.scrapes
~~~~~~~~~~~~~~~~~~~~

Parses scrapes of daemons' metrics for the service-level report.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from prometheus_client.parser import text_string_to_metric_families

from rosemarypath.edgemetrics import (
    LEVEL_EVENTS,
    MACHINE_INFO,
    SCRAPED_AT,
    STARTED_AT,
)
from rosemarypath.errors import RosemarypathError

__all__ = ["Scrape", "ScrapeError", "parse_scrape", "slices_between_scrapes"]


class ScrapeError(RosemarypathError):
    """A scrape cannot be parsed or is not from a rosemarypath daemon."""


@dataclass(frozen=True)
class Scrape:
    """
    One scrape of one daemon.

    `at` (when it was scraped) and `started_at` are in Unix seconds. `counts` maps
    (objective, customer, cause) to the number of events since the daemon's start; the
    cause of good events is empty.
    """

    machine: str
    zone: str
    at: float
    started_at: float
    counts: Counter = field(default_factory=Counter)


def parse_scrape(text, source):
    """
    Return the `Scrape` in `text`, an answer of ``/metrics``.

    Raises `ScrapeError`, whose message begins with `source`.
    """
    found = {"counts": Counter()}
    try:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                _collect_sample(found, sample)
    except ValueError as error:
        raise ScrapeError(
            f"{source} is not a scrape: {error}", "save an answer of /metrics"
        ) from error
    missing = [name for name in ("machine", "at", "started_at") if name not in found]
    if missing:
        raise ScrapeError(
            f"{source} has no {', '.join(missing)}", "scrape a rosemarypath daemon"
        )
    return Scrape(**found)


def _collect_sample(found, sample):
    labels = sample.labels
    if sample.name == f"{MACHINE_INFO}_info":
        found["machine"] = labels["machine"]
        found["zone"] = labels["zone"]
    elif sample.name == SCRAPED_AT:
        found["at"] = sample.value
    elif sample.name == STARTED_AT:
        found["started_at"] = sample.value
    elif sample.name == f"{LEVEL_EVENTS}_total":
        event_key = (labels["objective"], labels["customer"], labels["cause"])
        found["counts"][event_key] += int(sample.value)


def slices_between_scrapes(scrapes):
    """
    Return ``{start: Counter}`` for `burn_table`, from scrapes in any order.

    A slice covers the time between two scrapes of one daemon and has the events counted
    in between; the first slice begins at the daemon's start. `start` is a Unix time.
    """
    by_start = defaultdict(list)
    for scrape in scrapes:
        by_start[(scrape.machine, scrape.started_at)].append(scrape)
    slices = {}
    for series in by_start.values():
        series.sort(key=lambda scrape: scrape.at)
        start = series[0].started_at
        previous = Counter()
        for scrape in series:
            _add_slice(slices, start, scrape, previous)
            start = scrape.at
            previous = scrape.counts
    return slices


def _add_slice(slices, start, scrape, previous):
    counts = slices.setdefault(start, Counter())
    for (objective, customer, cause), number in scrape.counts.items():
        added = number - previous[(objective, customer, cause)]
        if added:
            counts[(objective, customer, scrape.zone, cause)] += added
