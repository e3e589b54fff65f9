"""Versions of configuration at one process.

The store's head grows. Snapshots, pages of the log and peers tell any
version up to the head, late and out of order.
"""

import z3

from specification.checker import Model

__all__ = ["VERSION_WEAKENINGS", "version_model"]

VERSION_WEAKENINGS = ("older snapshot adopted", "change applied out of order")


def version_model(weakening=None):
    """Return the model of the version in force at a process.

    :param weakening: one of :data:`VERSION_WEAKENINGS`, or ``None``
    """
    sorts = {
        "head": z3.IntSort(),
        "version": z3.IntSort(),
        "told": z3.IntSort(),
        "in_force": z3.IntSort(),
    }
    model = Model(sorts)
    model.initial = {name: z3.IntVal(0) for name in sorts}
    now = model.now
    version, told = now["version"], now["told"]
    model.step("operator commits", z3.BoolVal(True), head=now["head"] + 1)
    # What is told is a version that the store held at some time.
    model.step("later version is told", told < now["head"], told=told + 1)
    model.step("older version is told", told > 0, told=told - 1)
    newer = told > version
    if weakening == "older snapshot adopted":
        newer = z3.BoolVal(True)
    model.step("snapshot is adopted", newer, version=told)
    follows = told == version + 1
    if weakening == "change applied out of order":
        follows = told != version
    model.step("change is applied", follows, version=told)
    model.step(
        "work is admitted",
        z3.BoolVal(True),
        in_force=z3.If(version > now["in_force"], version, now["in_force"]),
    )
    model.bad_by_name = {
        "never reverts": version < now["in_force"],
        "never ahead of the store": version > now["head"],
    }
    return model
