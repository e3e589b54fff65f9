"""Plots of cache reuse against load skew and of a zone's absence."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["plot_all"]


def plot_all(results, folder):
    """Write all plots as PNG files into a folder."""
    _plot_curve(results["sweep"], folder / "reuse-skew.png")
    for title in ("kowhai", "asante-boateng"):
        timeline = results[title]["zone leaves and returns"]["timeline"]
        _plot_zone(timeline, folder / f"zone-{title}.png")


def _plot_curve(sweep, path):
    figure, axes = pyplot.subplots()
    skews = [run["skew mean"] for run in sweep.values()]
    reuses = [run["reuse"] for run in sweep.values()]
    axes.plot(skews, reuses, marker="o")
    for multiple, skew, reuse in zip(sweep, skews, reuses):
        axes.annotate(str(multiple), (skew, reuse))
    axes.set_xlabel("load skew, maximum over mean")
    axes.set_ylabel("cache reuse of returning chats")
    figure.savefig(path)
    pyplot.close(figure)


def _plot_zone(timeline, path):
    figure, axes = pyplot.subplots()
    complete = [
        (at_s, 1000 * first_token_s)
        for at_s, first_token_s, is_complete in timeline
        if is_complete
    ]
    axes.scatter(*zip(*complete), s=4)
    for at_s, _, is_complete in timeline:
        if not is_complete:
            axes.axvline(at_s, color="red")
    axes.set_xlabel("seconds")
    axes.set_ylabel("first word, ms")
    figure.savefig(path)
    pyplot.close(figure)
