"""Model of an order with an idempotency key.

To execute the order, a router first writes a claim to the row of its key in
the table service, then dispatches the order to the agent. Several claims of
the key compete; a router makes a new claim for each attempt. The agent can
restart any number of times. Writes and dispatch frames can be delayed,
duplicated and lost, and responses of the table service can be lost.

Variables of the model:

- ``row``: number of the claim that the key's row holds, or 0
- ``inc``: number of the agent's incarnation, increased by each restart
- ``runs``: number of times that the order was executed

Variables of claim ``i``:

- ``state``: state of the claim at the router that made it
- ``bound``: incarnation of the agent that may execute the order for the claim
- ``ledger``: state of the claim in the agent's ledger
- ``expects``: value that ``row`` must have for the claim's write to succeed
- ``write``: whether a write of the claim is in flight
- ``frame``: whether a dispatch frame of the claim is in flight
- ``ran``: whether the agent executed the order for the claim
- ``told``: whether the router told the caller that the order was not executed
  for the claim
"""

import z3

from specification.checker import Model

__all__ = ["ORDER_WEAKENINGS", "order_model"]

# Weakened variants of the protocol, each named after the rule that it lacks or
# the wrong rule that it adds. "blind claim retry": a router takes a claim as
# confirmed without reading the row.
ORDER_WEAKENINGS = (
    "no tombstone",
    "no incarnation",
    "blind claim retry",
    "unconditional claim",
    "restart means not run",
)

# Number of competing claims in proofs.
CLAIM_COUNT = 3

# Values of ``state``.
PROPOSED, CLAIMING, CLAIMED, DISPATCHED, FINISHED, REFUSED, UNKNOWN = range(7)
# Values of ``ledger``.
NONE, RUNNING, DONE, TOMBSTONED = range(4)


def order_model(weakening=None, count=CLAIM_COUNT):
    """Return the model of an order with an idempotency key.

    :param weakening: weakened variant of the protocol, one of
        :data:`ORDER_WEAKENINGS`, or ``None`` for the protocol as it is
    :param count: number of competing claims
    """
    claims = range(1, count + 1)
    sorts = {"row": z3.IntSort(), "inc": z3.IntSort(), "runs": z3.IntSort()}
    for i in claims:
        for name in ("state", "bound", "ledger", "expects"):
            sorts[f"{name}{i}"] = z3.IntSort()
        for name in ("write", "frame", "ran", "told"):
            sorts[f"{name}{i}"] = z3.BoolSort()
    model = Model(sorts)
    model.initial = {
        name: z3.BoolVal(False) if sort == z3.BoolSort() else z3.IntVal(0)
        for name, sort in sorts.items()
    }
    for i in claims:
        _add_claim_transitions(model, i, weakening)
        _add_dispatch_transitions(model, i, weakening)
        for j in claims:
            if i != j:
                _add_takeover_transitions(model, i, j, weakening)
    now = model.now
    empty_ledger = {f"ledger{i}": NONE for i in claims}
    model.add_transition(
        "agent restarts", z3.BoolVal(True), inc=now["inc"] + 1, **empty_ledger
    )
    false_reports = [z3.And(now[f"told{i}"], now[f"ran{i}"]) for i in claims]
    model.violations_by_property = {
        "at most once": now["runs"] > 1,
        "not-run reports are true": z3.Or(false_reports),
    }
    model.invariant = _invariant(now, claims)
    return model


def _add_claim_transitions(model, i, weakening):
    now = model.now
    state, row = now[f"state{i}"], now["row"]
    write, expects = now[f"write{i}"], now[f"expects{i}"]
    for age in (0, 1):
        # If a router has not yet heard of the agent's restart, it binds the
        # claim to the previous incarnation.
        model.add_transition(
            f"claim {i} is sent",
            z3.And(state == PROPOSED, now["inc"] >= age, row == 0),
            **{
                f"state{i}": CLAIMING,
                f"write{i}": True,
                f"bound{i}": now["inc"] - age,
            },
        )
    model.add_transition(
        f"claim {i} is sent again",
        z3.And(state == CLAIMING, row == expects),
        **{f"write{i}": True},
    )
    condition_met = row == expects
    if weakening == "unconditional claim":
        condition_met = z3.BoolVal(True)
    model.add_transition(
        f"claim {i} takes effect",
        z3.And(write, condition_met),
        **{"row": z3.IntVal(i), f"write{i}": False},
    )
    model.add_transition(
        f"claim {i} is rejected",
        z3.And(write, row != expects),
        **{f"write{i}": False},
    )
    is_confirmed = row == i
    if weakening == "blind claim retry":
        is_confirmed = z3.BoolVal(True)
    model.add_transition(
        f"claim {i} is confirmed",
        z3.And(state == CLAIMING, is_confirmed),
        **{f"state{i}": CLAIMED},
    )
    # An abandoned claim is never dispatched, even if its write takes effect
    # later.
    model.add_transition(
        f"claim {i} is abandoned",
        state == CLAIMING,
        **{f"state{i}": REFUSED, f"told{i}": True},
    )


def _add_dispatch_transitions(model, i, weakening):
    now = model.now
    state, ledger = now[f"state{i}"], now[f"ledger{i}"]
    bound, frame = now[f"bound{i}"], now[f"frame{i}"]
    same_incarnation = now["inc"] == bound
    model.add_transition(
        f"claim {i} is dispatched",
        z3.Or(state == CLAIMED, state == DISPATCHED),
        **{f"state{i}": DISPATCHED, f"frame{i}": True},
    )
    accepted = same_incarnation
    if weakening == "no incarnation":
        accepted = z3.BoolVal(True)
    # The frame stays in flight since it may be delivered again.
    model.add_transition(
        f"agent executes {i}",
        z3.And(frame, accepted, ledger == NONE),
        **{
            f"ledger{i}": RUNNING,
            f"ran{i}": True,
            "runs": now["runs"] + 1,
        },
    )
    model.add_transition(
        f"agent refuses {i}",
        z3.And(frame, accepted, ledger == NONE),
        **{f"ledger{i}": TOMBSTONED},
    )
    model.add_transition(f"frame {i} is lost", frame, **{f"frame{i}": False})
    model.add_transition(
        f"agent finishes {i}", ledger == RUNNING, **{f"ledger{i}": DONE}
    )
    model.add_transition(
        f"response of {i} is received",
        z3.And(state == DISPATCHED, same_incarnation, ledger == DONE),
        **{f"state{i}": FINISHED},
    )
    model.add_transition(
        f"refusal of {i} is received",
        z3.And(state == DISPATCHED, same_incarnation, ledger == TOMBSTONED),
        **{f"state{i}": REFUSED, f"told{i}": True},
    )
    restarted = z3.And(state == DISPATCHED, now["inc"] != bound)
    updates = {f"state{i}": UNKNOWN}
    if weakening == "restart means not run":
        updates = {f"state{i}": REFUSED, f"told{i}": True}
    model.add_transition(f"restart is detected by {i}", restarted, **updates)


def _add_takeover_transitions(model, i, j, weakening):
    now = model.now
    state, ledger = now[f"state{i}"], now[f"ledger{j}"]
    can_query = z3.And(state == PROPOSED, now["row"] == j)
    same_incarnation = now["inc"] == now[f"bound{j}"]
    ledger_after = NONE if weakening == "no tombstone" else TOMBSTONED
    model.add_transition(
        f"claim {i} queries {j} and takes over",
        z3.And(
            can_query,
            same_incarnation,
            z3.Or(ledger == NONE, ledger == TOMBSTONED),
        ),
        **{
            f"state{i}": CLAIMING,
            f"ledger{j}": ledger_after,
            f"expects{i}": z3.IntVal(j),
            f"write{i}": True,
            f"bound{i}": now["inc"],
        },
    )
    model.add_transition(
        f"claim {i} attaches to {j}",
        z3.And(
            can_query,
            same_incarnation,
            z3.Or(ledger == RUNNING, ledger == DONE),
        ),
        **{f"state{i}": FINISHED},
    )
    model.add_transition(
        f"restart of the agent of {j} is detected by {i}",
        z3.And(can_query, z3.Not(same_incarnation)),
        **{f"state{i}": UNKNOWN},
    )


def _invariant(now, claims):
    """Return the invariant for proofs by induction."""
    conjuncts = [now["row"] >= 0, now["row"] <= len(claims), now["inc"] >= 0]
    runs = [z3.If(now[f"ran{i}"], 1, 0) for i in claims]
    conjuncts.append(now["runs"] == z3.Sum(runs))
    for i in claims:
        conjuncts += _claim_invariant(now, i, claims)
        conjuncts += [
            z3.Implies(now[f"expects{i}"] == j, _never_runs(now, j))
            for j in claims
        ]
    return z3.And(conjuncts)


def _claim_invariant(now, i, claims):
    state, ledger = now[f"state{i}"], now[f"ledger{i}"]
    frame, ran, told = now[f"frame{i}"], now[f"ran{i}"], now[f"told{i}"]
    row, expects = now["row"], now[f"expects{i}"]
    same_incarnation = now["inc"] == now[f"bound{i}"]
    before_dispatch = z3.Or(
        state == PROPOSED, state == CLAIMING, state == CLAIMED
    )
    granted = z3.Or(state == CLAIMED, state == DISPATCHED, frame, ran)
    untouched = z3.And(
        z3.Not(now[f"write{i}"]), ledger == NONE, row != i, expects == 0
    )
    return [
        state >= PROPOSED,
        state <= UNKNOWN,
        ledger >= NONE,
        ledger <= TOMBSTONED,
        now[f"bound{i}"] <= now["inc"],
        z3.And(expects >= 0, expects <= len(claims), expects != i),
        z3.Implies(before_dispatch, z3.Not(z3.Or(frame, ran, told))),
        z3.Implies(state == PROPOSED, untouched),
        z3.Implies(
            z3.Or(ledger == RUNNING, ledger == DONE),
            z3.And(ran, same_incarnation),
        ),
        z3.Implies(
            z3.And(ran, same_incarnation),
            z3.Or(ledger == RUNNING, ledger == DONE),
        ),
        z3.Implies(
            granted, z3.And(row != 0, z3.Or(row == i, _never_runs(now, i)))
        ),
        z3.Implies(
            told,
            z3.And(
                state == REFUSED,
                z3.Not(ran),
                z3.Or(z3.Not(frame), _never_runs(now, i)),
            ),
        ),
    ]


def _never_runs(now, i):
    """Return the formula that claim i is not and never will be executed."""
    restarted = now["inc"] > now[f"bound{i}"]
    tombstoned = now[f"ledger{i}"] == TOMBSTONED
    claimed = now[f"state{i}"] != PROPOSED
    return z3.And(
        z3.Not(now[f"ran{i}"]), claimed, z3.Or(restarted, tombstoned)
    )
