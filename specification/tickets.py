"""Orders with a ticket: no table service, one incarnation, one ledger.

Two attempts carry the same ticket. The agent forgets a finished order after
the retention; the ticket is too old from then on.
"""

import z3

from specification.checker import Model

__all__ = ["TICKET_WEAKENINGS", "ticket_model"]

TICKET_WEAKENINGS = ("no expiry", "no refused attempts", "no binding")

NONE, RUNNING, DONE, REFUSED = range(4)


def ticket_model(weakening=None):
    """Return the model of an order with a ticket.

    :param weakening: one of :data:`TICKET_WEAKENINGS`, or ``None``
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
        _attempt_steps(model, i, weakening)
    now = model.now
    model.step("ticket expires", z3.Not(now["expired"]), expired=True)
    model.step(
        "agent forgets",
        z3.And(now["expired"], now["ledger"] == DONE),
        ledger=NONE,
    )
    model.step("agent finishes", now["ledger"] == RUNNING, ledger=DONE)
    model.step(
        "agent restarts",
        z3.Not(now["restarted"]),
        restarted=True,
        ledger=NONE,
        refused1=False,
        refused2=False,
    )
    model.bad_by_name = {
        "at most once": now["runs"] > 1,
        "true not run": z3.Or(
            z3.And(now["told1"], now["ran1"]),
            z3.And(now["told2"], now["ran2"]),
        ),
    }
    return model


def _attempt_steps(model, i, weakening):
    now = model.now
    frame, ledger = now[f"frame{i}"], now["ledger"]
    here = z3.Not(now["restarted"])
    if weakening == "no binding":
        here = z3.BoolVal(True)
    model.step(
        f"router {i} dispatches",
        z3.Not(now[f"told{i}"]),
        **{f"frame{i}": True},
    )
    young = z3.Not(now["expired"])
    if weakening == "no expiry":
        young = z3.BoolVal(True)
    allowed = z3.Not(now[f"refused{i}"])
    if weakening == "no refused attempts":
        allowed = z3.BoolVal(True)
    # An order that the ledger knows may run again only after a refusal.
    new = z3.Or(z3.And(ledger == NONE, young), ledger == REFUSED)
    may_run = z3.And(frame, here, allowed, new)
    model.step(
        f"agent runs {i}",
        may_run,
        **{
            "ledger": RUNNING,
            f"ran{i}": True,
            "runs": z3.If(now["runs"] < 2, now["runs"] + 1, 2),
        },
    )
    model.step(
        f"agent refuses {i}",
        may_run,
        **{"ledger": REFUSED, f"refused{i}": True, f"told{i}": True},
    )
    model.step(f"frame {i} is lost", frame, **{f"frame{i}": False})
