"""Renders an experiment as one HTML page with inline SVG plots and no external assets."""

import io
import math
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np
from jinja2 import Environment, FileSystemLoader, StrictUndefined, select_autoescape

from heronlug.emulator.figures import OUTCOMES
from heronlug.experiments.compare import interval
from heronlug.experiments.store import StoredRun

matplotlib.use("svg")
from matplotlib import pyplot as plt

MAX_DRAWN_CASES = 10
"""Maximum number of cases in a plot, since more lines cannot be distinguished."""
MAX_SHOWN_VIOLATIONS = 10
"""Maximum number of violations that the page shows with their events."""
CLASS_HEADINGS = [*OUTCOMES, "p50 ms", "p90 ms", "p99 ms", "p99.9 ms"]
"""Headings of the columns in the tables of request classes."""


def label_of(params: dict[str, Any]) -> str:
    """Returns the label of a case: the varied values in the order of their keys."""
    return ", ".join(f"{key} {value}" for key, value in sorted(params.items())) or "all"


def page(name: str, runs: Sequence[StoredRun]) -> str:
    """Returns the HTML page of an experiment.

    Raises:
        ValueError: if there are no runs.
    """
    if not runs:
        msg = f"{name}: no runs to report"
        raise ValueError(msg)
    runs_by_case: dict[str, list[StoredRun]] = defaultdict(list)
    for run in runs:
        runs_by_case[label_of(run.params)].append(run)
    class_names = sorted({class_name for run in runs for class_name in run.details["aims"]})
    cases = [_case(label, group, class_names) for label, group in runs_by_case.items()]
    drawn_cases = dict(list(runs_by_case.items())[:MAX_DRAWN_CASES])
    folder = Path(__file__).parent
    loader = Environment(
        loader=FileSystemLoader(folder), autoescape=select_autoescape(["html"]), undefined=StrictUndefined
    )
    return loader.get_template("report.html").render(
        name=name,
        runs=len(runs),
        seeds=max(len(group) for group in runs_by_case.values()),
        version=runs[0].version,
        cases=cases,
        class_names=class_names,
        class_headings=CLASS_HEADINGS,
        cdfs={class_name: _cdf(class_name, drawn_cases) for class_name in class_names},
        over_time=_over_time(drawn_cases),
        loads=_loads(drawn_cases),
        warmup_peaks=_warmup_peaks(drawn_cases),
        recoveries=_recoveries(runs_by_case),
        violations=_violations(runs_by_case),
    )


def _mean(values: Sequence[float]) -> float:
    finite = [value for value in values if math.isfinite(value)]
    return float(np.mean(finite)) if finite else math.nan


def _case(label: str, group: list[StoredRun], class_names: list[str]) -> dict[str, Any]:
    mean = {key: _mean([run.figures.get(key, math.nan) for run in group]) for key in group[0].figures}
    low, high = interval(np.array([run.figures["service"] for run in group]))
    service = f"{mean['service']:.4f}" + (f" ({low:.4f} to {high:.4f})" if math.isfinite(low) else "")
    rows = {}
    for class_name in class_names:
        shares = [f"{mean.get(f'{class_name}.{outcome}', math.nan):.2%}" for outcome in OUTCOMES]
        times = [
            f"{mean.get(f'{class_name}.{heading.split()[0]}', math.nan):.0f}"
            for heading in CLASS_HEADINGS[len(OUTCOMES) :]
        ]
        rows[class_name] = [*shares, *times]
    broken = int(sum(run.figures["violations"] for run in group))
    return {"label": label, "mean": mean, "service": service, "class_rows": rows, "broken": broken}


def _svg(figure: Any) -> str:
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    svg = buffer.getvalue()
    return svg[svg.index("<svg") :]


def _axes(title: str, x_label: str, y_label: str) -> tuple[Any, Any]:
    figure, axes = plt.subplots(figsize=(9, 3.6))
    axes.set(title=title, xlabel=x_label, ylabel=y_label)
    axes.grid(alpha=0.3)
    return figure, axes


def _cdf(class_name: str, runs_by_case: dict[str, list[StoredRun]]) -> str:
    figure, axes = _axes(f"{class_name}: latency of served requests", "ms", "share")
    aim = 0.0
    for label, group in runs_by_case.items():
        quantiles = [run.details["quantiles"][class_name] for run in group if class_name in run.details["quantiles"]]
        aim = group[0].details["aims"].get(class_name, 0.0)
        if quantiles:
            times = np.mean(quantiles, axis=0)
            axes.plot(np.maximum(times, 1.0), np.linspace(0, 1, len(times)), label=label)
    axes.axvline(aim, color="grey", linestyle=":", label="latency objective")
    axes.set_xscale("log")
    axes.legend(fontsize=8)
    return _svg(figure)


def _over_time(runs_by_case: dict[str, list[StoredRun]]) -> str:
    figure, axes = _axes("Earned share of the possible value, by second of arrival", "s", "share")
    for label, group in runs_by_case.items():
        earned, possible = np.sum([run.details["by_second"] for run in group], axis=0)
        shares = np.divide(earned, possible, out=np.full(len(earned), np.nan), where=possible > 0)
        axes.plot(shares, label=label, linewidth=1)
    for fault in next(iter(runs_by_case.values()))[0].details["recovery"]:
        axes.axvline(fault["at_s"], color="grey", linestyle=":")
        axes.annotate(
            fault["what"],
            (fault["at_s"], 0.02),
            xycoords=("data", "axes fraction"),
            fontsize=8,
            rotation=90,
            color="grey",
        )
    axes.legend(fontsize=8)
    return _svg(figure)


def _loads(runs_by_case: dict[str, list[StoredRun]]) -> str:
    figure, axes = _axes("Load of each server, in ascending order", "share of the servers", "share of slots")
    for label, group in runs_by_case.items():
        loads = np.sort([server["load"] for run in group for server in run.details["hosts"]])
        axes.plot(np.linspace(0, 1, len(loads)), loads, label=label)
    axes.legend(fontsize=8)
    return _svg(figure)


def _warmup_peaks(runs_by_case: dict[str, list[StoredRun]]) -> str:
    figure, axes = _axes("Peak load of servers while warming up, relative to the overload limit", "", "share")
    peaks = {
        label: [max((server["peak"] for server in run.details["hosts"]), default=0.0) for run in group]
        for label, group in runs_by_case.items()
    }
    axes.boxplot(list(peaks.values()), tick_labels=[label[:24] for label in peaks])
    axes.axhline(1.0, color="red", linestyle=":", label="crash if exceeded too long")
    axes.tick_params(axis="x", labelrotation=20, labelsize=8)
    axes.legend(fontsize=8)
    return _svg(figure)


def _recoveries(runs_by_case: dict[str, list[StoredRun]]) -> list[dict[str, Any]]:
    rows = []
    for label, group in runs_by_case.items():
        for number, fault in enumerate(group[0].details["recovery"]):
            spans = [run.details["recovery"][number]["seconds"] for run in group]
            finite = [span for span in spans if span is not None and math.isfinite(span)]
            text = f"{np.mean(finite):.1f}" if finite else "never"
            if len(finite) < len(spans):
                text += f" (not in {len(spans) - len(finite)} of {len(spans)})"
            rows.append({"label": label, "what": fault["what"], "at_s": fault["at_s"], "seconds": text})
    return rows


def _violations(runs_by_case: dict[str, list[StoredRun]]) -> list[dict[str, Any]]:
    found = [
        {"label": label, "seed": run.seed, **each}
        for label, group in runs_by_case.items()
        for run in group
        for each in run.details["violations"]
    ]
    return found[:MAX_SHOWN_VIOLATIONS]
