"""Model of the configuration version at one process.

Snapshots, pages of the change log and peers deliver versions to the process,
late and out of order.

Variables of the model:

- ``head``: newest version in the store
- ``told``: version that is being delivered to the process
- ``version``: version that the process holds
- ``in_force``: newest version under which the process admitted a request
"""

import z3

from specification.checker import Model

__all__ = ["VERSION_WEAKENINGS", "version_model"]

# Weakened variants of the protocol, each named after the error it permits.
VERSION_WEAKENINGS = ("older snapshot adopted", "change applied out of order")


def version_model(weakening=None):
    """Return the model of the configuration version at a process.

    :param weakening: weakened variant of the protocol, one of
        :data:`VERSION_WEAKENINGS`, or ``None`` for the protocol as it is
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
    # The delivered version goes up and down by single steps, so that it can be
    # any version that the store has held.
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
