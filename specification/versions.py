"""Model of the configuration version at one process.

The store's newest version, ``head``, grows. Snapshots, log pages and peers
deliver any version up to it, late and out of order. The variable ``told`` is
the version being delivered, ``version`` the one that the process holds and
``in_force`` the newest one under which it admitted a request.
"""

import z3

from specification.checker import Model

__all__ = ["VERSION_WEAKENINGS", "version_model"]

VERSION_WEAKENINGS = ("older snapshot adopted", "change applied out of order")


def version_model(weakening=None):
    """Return the model of the configuration version at a process.

    :param weakening: rule of the protocol to weaken, one of
        :data:`VERSION_WEAKENINGS`, or ``None``
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
    model.add_transition(
        "operator commits", z3.BoolVal(True), head=now["head"] + 1
    )
    # Only versions that the store has held are delivered.
    model.add_transition(
        "later version is delivered", told < now["head"], told=told + 1
    )
    model.add_transition("older version is delivered", told > 0, told=told - 1)
    newer = told > version
    if weakening == "older snapshot adopted":
        newer = z3.BoolVal(True)
    model.add_transition("snapshot is adopted", newer, version=told)
    is_next = told == version + 1
    if weakening == "change applied out of order":
        is_next = told != version
    model.add_transition("change is applied", is_next, version=told)
    model.add_transition(
        "request is admitted",
        z3.BoolVal(True),
        in_force=z3.If(version > now["in_force"], version, now["in_force"]),
    )
    model.violations_by_property = {
        "never reverts": version < now["in_force"],
        "never ahead of the store": version > now["head"],
    }
    return model
