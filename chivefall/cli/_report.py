"""Command that writes an HTML report with plots of log events."""

from __future__ import annotations

import html
import io
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from chivefall.cli._log_files import read_lines
from chivefall.errors import ConfigError
from chivefall.telemetry import LogSummary, Point, summarize

if TYPE_CHECKING:
    from matplotlib.axes import Axes

__all__ = ["report"]

PLOT_INCHES = (9.0, 2.6)  # width and height of one plot
MAX_SHOWN_REASONS = 6  # further reasons would not fit into the legend
_PAGE = """<!doctype html><meta charset="utf-8"><title>chivefall report</title>
<style>body {{ font: 15px sans-serif; margin: 2em; max-width: 60em }}</style>
<h1>chivefall report</h1>
<p>{span}: {lines} events of {instances} instances, {answered} requests answered.</p>
<h2>Missing</h2><ul>{missing}</ul>
{plots}
"""


def report(
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files or directories with *.log files (default: standard input)."),
    ] = None,
    out: Annotated[Path, typer.Option(help="HTML file to write.")] = Path("report.html"),
) -> None:
    """Write a report on waiting times, runs, refusals and the age of the desired state."""
    summary = summarize(read_lines(logs or []))
    for gap in summary.find_gaps():
        typer.echo(f"missing: {gap}")
    out.write_text(_render_page(summary), encoding="utf-8")
    typer.echo(f"{out}: {summary.event_count} events of {len(summary.instances)} instances")


def _render_page(summary: LogSummary) -> str:
    plots = [
        _plot("Waiting time from submission to first start, seconds", summary, _draw_waits),
        _plot("Runs in progress", summary, _draw_runs),
        _plot("Refused requests by reason", summary, _draw_refusals),
        _plot("Age of the desired state at each response, seconds", summary, _draw_ages),
    ]
    gaps = summary.find_gaps() or ["no gaps are evident from the events"]
    return _PAGE.format(
        span=_format_span(summary),
        lines=summary.event_count,
        instances=len(summary.instances),
        answered=summary.answered_requests,
        missing="".join(f"<li>{html.escape(gap)}</li>" for gap in gaps),
        plots="\n".join(plots),
    )


def _format_span(summary: LogSummary) -> str:
    if not summary.event_count:
        return "no events"
    begin = datetime.fromtimestamp(summary.begin, UTC).isoformat(" ", "seconds")
    return f"{begin}, {summary.end - summary.begin:.1f} s"


def _plot(title: str, summary: LogSummary, draw: Callable[[Axes, LogSummary], None]) -> str:
    """Return a heading and an SVG plot."""
    try:
        # Imported here, because only this command needs it.
        from matplotlib.figure import Figure  # noqa: PLC0415
    except ImportError as exc:
        raise ConfigError(
            "matplotlib is not installed", "install chivefall with the extra 'report'"
        ) from exc
    figure = Figure(figsize=PLOT_INCHES, layout="constrained")
    axes = figure.add_subplot()
    draw(axes, summary)
    for at, _ in summary.leaderships:
        axes.axvline(at - summary.begin, color="grey", linestyle=":", linewidth=0.8)
    if summary.event_count:
        axes.set_xlim(0.0, max(1.0, summary.end - summary.begin))
    axes.set_xlabel("seconds; dotted lines: changes of leader")
    if axes.get_legend_handles_labels()[0]:
        axes.legend(fontsize="x-small")
    content = io.StringIO()
    figure.savefig(content, format="svg")
    svg = content.getvalue()
    return f"<h2>{html.escape(title)}</h2>\n{svg[svg.index('<svg') :]}"


def _series(points: Iterable[Point], begin: float) -> tuple[list[float], list[float]]:
    ordered = sorted(points)
    return [point.at - begin for point in ordered], [point.value for point in ordered]


def _draw_waits(axes: Axes, summary: LogSummary) -> None:
    for queue, points in sorted(summary.waits.items()):
        axes.plot(*_series(points, summary.begin), ".", markersize=3, label=queue)


def _draw_runs(axes: Axes, summary: LogSummary) -> None:
    axes.step(*_series(summary.runs, summary.begin), where="post")


def _draw_refusals(axes: Axes, summary: LogSummary) -> None:
    counts = Counter({reason: len(times) for reason, times in summary.refusals.items()})
    times = [
        [at - summary.begin for at in summary.refusals[reason]]
        for reason, _ in counts.most_common(MAX_SHOWN_REASONS)
    ]
    labels = [f"{reason} ({count})" for reason, count in counts.most_common(MAX_SHOWN_REASONS)]
    if times:
        axes.hist(times, bins=60, stacked=True, label=labels)


def _draw_ages(axes: Axes, summary: LogSummary) -> None:
    for instance, points in sorted(summary.catalog_ages.items()):
        axes.plot(*_series(points, summary.begin), ".", markersize=2, label=instance)
