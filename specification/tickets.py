"""Model of orders with a ticket, which do without the table service.

Two attempts carry the same ticket, which is bound to one incarnation of an
agent. The agent drops a finished order from its ledger after the retention
time; from then on it rejects the ticket as expired.

Variables of the model are the agent's ``ledger`` entry, the number of
executions ``runs``, and whether the agent has ``restarted`` and the ticket
has ``expired``. Variables of attempt ``i``:

- ``frame``: whether a dispatch frame is in flight
- ``refused``: whether the agent remembers that it refused the attempt
- ``ran``: whether the agent executed the order
- ``told``: whether the agent reported that it was not executed
"""

import z3

from specification.checker import Model

__all__ = ["TICKET_WEAKENINGS", "ticket_model"]

TICKET_WEAKENINGS = ("no expiry", "no refused attempts", "no binding")

NONE, RUNNING, DONE, REFUSED = range(4)


def ticket_model(weakening=None):
    """Return the model of an order with a ticket.

    :param weakening: rule of the protocol to weaken, one of
        :data:`TICKET_WEAKENINGS`, or ``None``
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
    # An order with a ledger entry may be executed only after a refusal.
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
