"""Output of an experiment's results as a table, JSON and plots."""

import json
import statistics

from rich.console import Console
from rich.table import Table

__all__ = ["plot_results", "show_table", "write_results"]

# Keys of a run's results that the table shows.
COLUMNS = (
    "served",
    "on_time",
    "tokens_read_each",
    "tokens_copied_each",
    "skew",
    "over_limit",
    "first_p50_ms",
    "first_p95_ms",
    "first_p99_ms",
)


def means_by_policy(results):
    """Return the mean of each column over a policy's runs.

    :param results: list of results, see
        :func:`~boragetrail.emulator.experiment.run_once`
    :returns: dictionary of means by column, by policy
    """
    means = {}
    for policy in dict.fromkeys(each["policy"] for each in results):
        runs = [each for each in results if each["policy"] == policy]
        means[policy] = {
            column: statistics.fmean(run[column] or 0 for run in runs)
            for column in COLUMNS
        }
    return means


def show_table(experiment, results):
    """Print a table with the means over all seeds, one row per policy."""
    table = Table(title=f"{experiment.name}, {len(experiment.seeds)} seeds")
    table.add_column("policy")
    for column in COLUMNS:
        table.add_column(column, justify="right")
    for policy, means in means_by_policy(results).items():
        table.add_row(policy, *(f"{means[c]:.4g}" for c in COLUMNS))
    Console(width=130).print(table)


def write_results(results, path):
    """Write the results of all runs to a JSON file."""
    path.write_text(json.dumps(results, indent=1) + "\n")


def plot_results(experiment, results, folder):
    """Plot load skew and time to the first token of each policy.

    :param folder: ``pathlib.Path`` for the PNG files
    :returns: list of the files' paths
    :raises ImportError: if matplotlib is not installed
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    paths = [folder / "reuse-skew.png", folder / "first-tokens.png"]
    figure, axes = pyplot.subplots()
    for policy, means in means_by_policy(results).items():
        axes.scatter(means["tokens_read_each"], means["skew"], label=policy)
    axes.set_xlabel("prefilled prompt tokens per request")
    axes.set_ylabel("load skew (maximum / mean)")
    axes.legend()
    figure.savefig(paths[0])
    pyplot.close(figure)
    figure, axes = pyplot.subplots()
    for run in results:
        if run["seed"] == experiment.seeds[0]:
            times_s = sorted(took_s for _, took_s in run["firsts"])
            fractions = [n / len(times_s) for n in range(len(times_s))]
            axes.plot(times_s, fractions, label=run["policy"])
    axes.set_xscale("log")
    axes.set_xlabel("time to first token (s)")
    axes.set_ylabel("fraction of requests")
    axes.legend()
    figure.savefig(paths[1])
    pyplot.close(figure)
    return paths
