"""
rosemarypath.report
~~~~~~~~~~~~~~~~~~~

Computes burn rates of service-level objectives; formats them as text and as HTML.
"""

import html
from collections import Counter

__all__ = ["burn_table", "html_page", "merge_levels", "text_lines"]

# Allowed share of bad events for each objective.
ERROR_BUDGETS = {"first_token": 0.05, "token_gap": 0.05, "refusal": 0.001}
WINDOW_SECONDS = {"5 min": 300.0, "1 h": 3600.0}
FAST_BURN_RATE = 6.0  # in the short window; marks an objective as burning by itself
PLOT_WIDTH = 720  # pixels
PLOT_HEIGHT = 120  # pixels


def merge_levels(documents):
    """
    Return ``{start: Counter}``, summed over the documents of all daemons.

    `documents` are those of `ServiceLevels.document`. `start` is the Unix time at which
    a slice begins; the counters map (objective, customer, zone, cause) to events.
    """
    merged = {}
    for document in documents:
        for time_slice in document["slices"]:
            counts = merged.setdefault(time_slice["start"], Counter())
            for objective, customer, zone, cause, number in time_slice["counts"]:
                counts[(objective, customer, zone, cause)] += number
    return merged


def burn_table(slices, now):
    """
    Return a list with a row (a dictionary) for each (objective, customer, zone).

    `slices` are those of `merge_levels`; `now` is in Unix seconds. In a row, ``burn``
    maps each window to the rate at which the error budget is spent: 1 spends exactly
    the budget. ``events`` counts all events of the hour, ``causes`` its bad events by
    cause.
    """
    groups = sorted(
        {event_key[:3] for counts in slices.values() for event_key in counts}
    )
    return [_burn_row(slices, now, *group) for group in groups]


def _burn_row(slices, now, objective, customer, zone):
    burn = {}
    causes = Counter()
    total = 0
    for window, seconds in WINDOW_SECONDS.items():
        good, bad = 0, Counter()
        for start, counts in slices.items():
            if start < now - seconds:
                continue
            for event_key, number in counts.items():
                if event_key[:3] != (objective, customer, zone):
                    continue
                if event_key[3]:
                    bad[event_key[3]] += number
                else:
                    good += number
        total = good + bad.total()
        share = bad.total() / total if total else 0.0
        burn[window] = share / ERROR_BUDGETS[objective]
        causes = bad
    return {
        "objective": objective,
        "customer": customer,
        "zone": zone,
        "events": total,
        "burn": burn,
        "causes": dict(causes),
        "is_burning": min(burn.values()) > 1.0 or burn["5 min"] > FAST_BURN_RATE,
    }


def text_lines(rows):
    """Return the lines of the report as text."""
    if not rows:
        return ["no requests were served in the last hour"]
    lines = [
        f"{'objective':<12} {'customer':<14} {'zone':<14} "
        f"{'events':>7} {'5 min':>7} {'1 h':>7}  causes"
    ]
    for row in rows:
        causes = ", ".join(f"{name} {n}" for name, n in sorted(row["causes"].items()))
        mark = "  BURNING" if row["is_burning"] else ""
        lines.append(
            f"{row['objective']:<12} {row['customer']:<14} {row['zone']:<14} "
            f"{row['events']:>7} {row['burn']['5 min']:>7.2f} "
            f"{row['burn']['1 h']:>7.2f}  {causes}{mark}"
        )
    return lines


def html_page(rows, slices, now):
    """Return an HTML page with the table and plots of bad events over the last hour."""
    table = "\n".join(html.escape(line) for line in text_lines(rows))
    plots = "\n".join(
        f"<h2>{html.escape(objective)}</h2>\n{_plot(slices, now, objective)}"
        for objective in ERROR_BUDGETS
    )
    return (
        "<!doctype html>\n<html><head><meta charset='utf-8'>"
        "<title>Service-level burn</title></head>\n"
        f"<body><h1>Service-level burn</h1>\n<pre>{table}</pre>\n{plots}\n"
        "</body></html>\n"
    )


def _plot(slices, now, objective):
    """
    Return an SVG bar chart of the share of bad events in each slice.

    A dashed line marks the error budget.
    """
    bars = []
    window = WINDOW_SECONDS["1 h"]
    for start, counts in sorted(slices.items()):
        if start < now - window:
            continue
        events = {i: n for i, n in counts.items() if i[0] == objective}
        total = sum(events.values())
        bad = sum(n for event_key, n in events.items() if event_key[3])
        if not total:
            continue
        x = PLOT_WIDTH * (1 - (now - start) / window)
        height = max(1.0, PLOT_HEIGHT * bad / total)
        colour = "#b22" if bad else "#8b8"
        bars.append(
            f"<rect x='{x:.1f}' y='{PLOT_HEIGHT - height:.1f}' width='2' "
            f"height='{height:.1f}' fill='{colour}'/>"
        )
    allowed = PLOT_HEIGHT * (1 - ERROR_BUDGETS[objective])
    return (
        f"<svg width='{PLOT_WIDTH}' height='{PLOT_HEIGHT}' role='img' "
        f"aria-label='share of bad events'>{''.join(bars)}"
        f"<line x1='0' x2='{PLOT_WIDTH}' y1='{allowed:.1f}' y2='{allowed:.1f}' "
        "stroke='#333' stroke-dasharray='4'/></svg>"
    )
