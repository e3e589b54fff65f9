"""Orders with an idempotency key: claim, dispatch, tombstone, takeover.

Several claims of one key compete; routers make a new claim for each try. The
row of the table service holds 0 (absent) or the number of the claim that
holds it. One agent restarts any number of times. Writes and frames are
delayed, repeated and lost, and answers of the table service are lost.
"""

import z3

from specification.checker import Model

__all__ = ["ORDER_WEAKENINGS", "order_model"]

ORDER_WEAKENINGS = (
    "no tombstone",
    "no incarnation",
    "blind claim retry",
    "unconditional claim",
    "restart means not run",
)

PROOF_CLAIMS = 3

PROPOSED, CLAIMING, CLAIMED, DISPATCHED, FINISHED, REFUSED, UNKNOWN = range(7)
NONE, RUNNING, DONE, TOMBSTONED = range(4)


def order_model(weakening=None, count=PROOF_CLAIMS):
    """Return the model of a keyed order.

    :param weakening: one of :data:`ORDER_WEAKENINGS`, or ``None``
    :param count: number of claims
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
        _claim_steps(model, i, weakening)
        _dispatch_steps(model, i, weakening)
        for j in claims:
            if i != j:
                _takeover_steps(model, i, j, weakening)
    now = model.now
    forgotten = {f"ledger{i}": NONE for i in claims}
    model.step(
        "agent restarts", z3.BoolVal(True), inc=now["inc"] + 1, **forgotten
    )
    lies = [z3.And(now[f"told{i}"], now[f"ran{i}"]) for i in claims]
    model.bad_by_name = {
        "at most once": now["runs"] > 1,
        "true not run": z3.Or(lies),
    }
    model.invariant = _invariant(now, claims)
    return model


def _claim_steps(model, i, weakening):
    now = model.now
    state, row = now[f"state{i}"], now["row"]
    write, expects = now[f"write{i}"], now[f"expects{i}"]
    for age in (0, 1):
        # The incarnation that a router knows may be out of date.
        model.step(
            f"claim {i} is sent",
            z3.And(state == PROPOSED, now["inc"] >= age, row == 0),
            **{
                f"state{i}": CLAIMING,
                f"write{i}": True,
                f"bound{i}": now["inc"] - age,
            },
        )
    model.step(
        f"claim {i} is sent again",
        z3.And(state == CLAIMING, row == expects),
        **{f"write{i}": True},
    )
    holds = row == expects
    if weakening == "unconditional claim":
        holds = z3.BoolVal(True)
    model.step(
        f"claim {i} takes effect",
        z3.And(write, holds),
        **{"row": z3.IntVal(i), f"write{i}": False},
    )
    model.step(
        f"claim {i} is rejected",
        z3.And(write, row != expects),
        **{f"write{i}": False},
    )
    knows = row == i
    if weakening == "blind claim retry":
        knows = z3.BoolVal(True)
    model.step(
        f"claim {i} is recognised",
        z3.And(state == CLAIMING, knows),
        **{f"state{i}": CLAIMED},
    )
    # The claim was never dispatched, whatever its write does later.
    model.step(
        f"claim {i} is given up",
        state == CLAIMING,
        **{f"state{i}": REFUSED, f"told{i}": True},
    )


def _dispatch_steps(model, i, weakening):
    now = model.now
    state, ledger = now[f"state{i}"], now[f"ledger{i}"]
    bound, frame = now[f"bound{i}"], now[f"frame{i}"]
    here = now["inc"] == bound
    model.step(
        f"claim {i} is dispatched",
        z3.Or(state == CLAIMED, state == DISPATCHED),
        **{f"state{i}": DISPATCHED, f"frame{i}": True},
    )
    accepted = here
    if weakening == "no incarnation":
        accepted = z3.BoolVal(True)
    # A frame may arrive again, so it stays in flight.
    model.step(
        f"agent runs {i}",
        z3.And(frame, accepted, ledger == NONE),
        **{
            f"ledger{i}": RUNNING,
            f"ran{i}": True,
            "runs": now["runs"] + 1,
        },
    )
    model.step(
        f"agent refuses {i}",
        z3.And(frame, accepted, ledger == NONE),
        **{f"ledger{i}": TOMBSTONED},
    )
    model.step(f"frame {i} is lost", frame, **{f"frame{i}": False})
    model.step(
        f"agent finishes {i}", ledger == RUNNING, **{f"ledger{i}": DONE}
    )
    model.step(
        f"answer of {i} is heard",
        z3.And(state == DISPATCHED, here, ledger == DONE),
        **{f"state{i}": FINISHED},
    )
    model.step(
        f"refusal of {i} is heard",
        z3.And(state == DISPATCHED, here, ledger == TOMBSTONED),
        **{f"state{i}": REFUSED, f"told{i}": True},
    )
    gone = z3.And(state == DISPATCHED, now["inc"] != bound)
    after = {f"state{i}": UNKNOWN}
    if weakening == "restart means not run":
        after = {f"state{i}": REFUSED, f"told{i}": True}
    model.step(f"restart is found by {i}", gone, **after)


def _takeover_steps(model, i, j, weakening):
    now = model.now
    state, ledger = now[f"state{i}"], now[f"ledger{j}"]
    asks = z3.And(state == PROPOSED, now["row"] == j)
    here = now["inc"] == now[f"bound{j}"]
    left = NONE if weakening == "no tombstone" else TOMBSTONED
    model.step(
        f"claim {i} asks about {j} and takes over",
        z3.And(asks, here, z3.Or(ledger == NONE, ledger == TOMBSTONED)),
        **{
            f"state{i}": CLAIMING,
            f"ledger{j}": left,
            f"expects{i}": z3.IntVal(j),
            f"write{i}": True,
            f"bound{i}": now["inc"],
        },
    )
    model.step(
        f"claim {i} attaches to {j}",
        z3.And(asks, here, z3.Or(ledger == RUNNING, ledger == DONE)),
        **{f"state{i}": FINISHED},
    )
    model.step(
        f"restart of the agent of {j} is found by {i}",
        z3.And(asks, z3.Not(here)),
        **{f"state{i}": UNKNOWN},
    )


def _invariant(now, claims):
    """Return the invariant that the proof by induction uses."""
    parts = [now["row"] >= 0, now["row"] <= len(claims), now["inc"] >= 0]
    ran = [z3.If(now[f"ran{i}"], 1, 0) for i in claims]
    parts.append(now["runs"] == z3.Sum(ran))
    for i in claims:
        parts += _claim_invariant(now, i, claims)
        parts += [
            z3.Implies(now[f"expects{i}"] == j, _is_dead(now, j))
            for j in claims
        ]
    return z3.And(parts)


def _claim_invariant(now, i, claims):
    state, ledger = now[f"state{i}"], now[f"ledger{i}"]
    frame, ran, told = now[f"frame{i}"], now[f"ran{i}"], now[f"told{i}"]
    row, expects = now["row"], now[f"expects{i}"]
    here = now["inc"] == now[f"bound{i}"]
    not_yet = z3.Or(state == PROPOSED, state == CLAIMING, state == CLAIMED)
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
        z3.Implies(not_yet, z3.Not(z3.Or(frame, ran, told))),
        z3.Implies(state == PROPOSED, untouched),
        z3.Implies(
            z3.Or(ledger == RUNNING, ledger == DONE), z3.And(ran, here)
        ),
        z3.Implies(
            z3.And(ran, here), z3.Or(ledger == RUNNING, ledger == DONE)
        ),
        z3.Implies(
            granted, z3.And(row != 0, z3.Or(row == i, _is_dead(now, i)))
        ),
        z3.Implies(
            told,
            z3.And(
                state == REFUSED,
                z3.Not(ran),
                z3.Or(z3.Not(frame), _is_dead(now, i)),
            ),
        ),
    ]


def _is_dead(now, i):
    """Return the formula "claim i did not run and never will"."""
    gone = now["inc"] > now[f"bound{i}"]
    sealed = now[f"ledger{i}"] == TOMBSTONED
    claimed = now[f"state{i}"] != PROPOSED
    return z3.And(z3.Not(now[f"ran{i}"]), claimed, z3.Or(gone, sealed))
