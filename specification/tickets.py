"""Model of an order with a ticket.

A ticket takes the place of a claim in the table service. Two attempts carry
the same ticket, which is bound to one incarnation of an agent. The ticket
expires after the retention time. The agent then drops a finished order from
its ledger, and rejects an expired ticket whose order is not in its ledger.

Variables of the model:

- ``ledger``: state of the order in the agent's ledger
- ``runs``: number of times that the order was executed, at most 2
- ``restarted``: whether the agent has restarted
- ``expired``: whether the ticket has expired

Variables of attempt ``i``:

- ``frame``: whether a dispatch frame of the attempt is in flight
- ``refused``: whether the agent's ledger says that it refused the attempt
- ``ran``: whether the agent executed the order for the attempt
- ``told``: whether the agent reported that the order was not executed for the
  attempt
"""

import z3

from specification.checker import Model

__all__ = ["TICKET_WEAKENINGS", "ticket_model"]

# Weakened variants of the protocol, each named after what it lacks. "no
# refused attempts": the agent forgets which attempts it has refused.
TICKET_WEAKENINGS = ("no expiry", "no refused attempts", "no binding")

# Values of ``ledger``.
NONE, RUNNING, DONE, REFUSED = range(4)


def ticket_model(weakening=None):
    """Return the model of an order with a ticket.

    :param weakening: weakened variant of the protocol, one of
        :data:`TICKET_WEAKENINGS`, or ``None`` for the protocol as it is
    """
    sorts = {
        "ledger": z3.IntSort(),
        "runs": z3.IntSort(),
        "restarted": z3.BoolSort(),
        "expired": z3.BoolSort(),
    }
    for i in (1, 2):
        for name in ("frame", "refused", "ran", "told"):
            sorts[f"{name}{i}"] = z3.BoolSort()
    model = Model(sorts)
    model.initial = {
        name: z3.BoolVal(False) if sort == z3.BoolSort() else z3.IntVal(0)
        for name, sort in sorts.items()
    }
    for i in (1, 2):
        _add_attempt_transitions(model, i, weakening)
    now = model.now
    model.add_transition(
        "ticket expires", z3.Not(now["expired"]), expired=True
    )
    model.add_transition(
        "agent drops the order",
        z3.And(now["expired"], now["ledger"] == DONE),
        ledger=NONE,
    )
    model.add_transition(
        "agent finishes", now["ledger"] == RUNNING, ledger=DONE
    )
    model.add_transition(
        "agent restarts",
        z3.Not(now["restarted"]),
        restarted=True,
        ledger=NONE,
        refused1=False,
        refused2=False,
    )
    model.violations_by_property = {
        "at most once": now["runs"] > 1,
        "not-run reports are true": z3.Or(
            z3.And(now["told1"], now["ran1"]),
            z3.And(now["told2"], now["ran2"]),
        ),
    }
    return model


def _add_attempt_transitions(model, i, weakening):
    now = model.now
    frame, ledger = now[f"frame{i}"], now["ledger"]
    same_incarnation = z3.Not(now["restarted"])
    if weakening == "no binding":
        same_incarnation = z3.BoolVal(True)
    model.add_transition(
        f"router {i} dispatches",
        z3.Not(now[f"told{i}"]),
        **{f"frame{i}": True},
    )
    is_valid = z3.Not(now["expired"])
    if weakening == "no expiry":
        is_valid = z3.BoolVal(True)
    allowed = z3.Not(now[f"refused{i}"])
    if weakening == "no refused attempts":
        allowed = z3.BoolVal(True)
    # If the ledger has an entry for the order, the order may be executed only
    # if the entry says that the agent refused it.
    is_new = z3.Or(z3.And(ledger == NONE, is_valid), ledger == REFUSED)
    may_run = z3.And(frame, same_incarnation, allowed, is_new)
    model.add_transition(
        f"agent executes {i}",
        may_run,
        **{
            "ledger": RUNNING,
            f"ran{i}": True,
            "runs": z3.If(now["runs"] < 2, now["runs"] + 1, 2),
        },
    )
    model.add_transition(
        f"agent refuses {i}",
        may_run,
        **{"ledger": REFUSED, f"refused{i}": True, f"told{i}": True},
    )
    model.add_transition(f"frame {i} is lost", frame, **{f"frame{i}": False})
