"""Prove safety of a transition system, or find a trace that breaks it.

Proofs are by induction on an invariant that the model gives, or by z3's
fixed-point engine, which finds one. Both hold for traces of any length.
Counterexamples come from a bounded search, which gives the names of the
transitions of a shortest trace.
"""

import z3

__all__ = ["Model", "Step", "broken_obligations", "find_trace", "prove"]

PROOF_TIMEOUT_MS = 60_000


class Step:
    """One kind of transition.

    :param name: name, as in the code's state machine where it has one
    :param guard: condition on the state before
    :param updates: new values by variable name; others stay
    """

    __slots__ = ("name", "guard", "updates")

    def __init__(self, name, guard, updates):
        self.name = name
        self.guard = guard
        self.updates = updates


class Model:
    """A transition system over variables with small domains.

    :param sorts_by_name: z3 sort of each variable
    """

    def __init__(self, sorts_by_name):
        self.sorts_by_name = sorts_by_name
        self.names = list(sorts_by_name)
        self.now = self.variables("")
        self.next = self.variables("'")
        self.initial = {}
        self.steps = []
        self.bad_by_name = {}
        self.invariant = None

    def variables(self, suffix):
        """Return variables of all names with a suffix."""
        return {
            name: z3.Const(name + suffix, sort)
            for name, sort in self.sorts_by_name.items()
        }

    def step(self, name, guard, **updates):
        """Add a transition."""
        self.steps.append(Step(name, guard, updates))

    def relation(self, step, now, following):
        """Return the formula of a transition between two states."""
        pairs = [(self.now[name], now[name]) for name in self.names]
        parts = [z3.substitute(step.guard, *pairs)]
        for name in self.names:
            value = step.updates.get(name, self.now[name])
            if not z3.is_expr(value):
                value = _constant(value, self.sorts_by_name[name])
            value = z3.substitute(value, *pairs)
            parts.append(following[name] == value)
        return z3.And(parts)

    def initially(self, state):
        """Return the formula of the initial state."""
        return z3.And([state[n] == v for n, v in self.initial.items()])


def prove(model, bad_name):
    """Return whether no trace of any length reaches a bad state.

    :param model: :class:`Model`
    :param bad_name: name of the property that must not break
    :returns: ``True`` if proved, ``False`` if it can break
    :raises RuntimeError: if z3 gives up
    """
    bad = model.bad_by_name[bad_name]
    if model.invariant is not None:
        return not broken_obligations(model, bad)
    return _prove_by_search(model, bad)


def broken_obligations(model, bad):
    """Return the parts of a proof by induction that fail.

    :param bad: formula of the bad states
    :returns: names of transitions that leave the invariant, ``initial`` if
        it does not hold at first, ``bad`` if it admits a bad state
    """
    names = model.names
    after = [(model.now[name], model.next[name]) for name in names]
    holds_after = z3.substitute(model.invariant, *after)
    broken = []
    if _possible(model.initially(model.now), z3.Not(model.invariant)):
        broken.append("initial")
    if _possible(model.invariant, bad):
        broken.append("bad")
    for step in model.steps:
        relation = model.relation(step, model.now, model.next)
        if _possible(model.invariant, relation, z3.Not(holds_after)):
            broken.append(step.name)
    return broken


def _possible(*formulas):
    solver = z3.Solver()
    solver.set(timeout=PROOF_TIMEOUT_MS)
    solver.add(*formulas)
    result = solver.check()
    if result == z3.unknown:
        raise RuntimeError(solver.reason_unknown())
    return result == z3.sat


def _prove_by_search(model, bad):
    engine = z3.Fixedpoint()
    engine.set(engine="spacer", timeout=PROOF_TIMEOUT_MS)
    sorts = [model.sorts_by_name[name] for name in model.names]
    reached = z3.Function("reached", *sorts, z3.BoolSort())
    engine.register_relation(reached)
    now = [model.now[name] for name in model.names]
    following = [model.next[name] for name in model.names]
    engine.declare_var(*now, *following)
    engine.rule(reached(*now), model.initially(model.now))
    for step in model.steps:
        relation = model.relation(step, model.now, model.next)
        engine.rule(reached(*following), [reached(*now), relation])
    result = engine.query(z3.And(reached(*now), bad))
    if result == z3.unknown:
        raise RuntimeError(engine.reason_unknown())
    return result == z3.unsat


def find_trace(model, bad_name, depth):
    """Return the transitions of a shortest trace to a bad state.

    :param depth: most transitions that are searched
    :returns: list of names, or ``None``
    """
    solver = z3.Solver()
    states = [model.variables("@0")]
    solver.add(model.initially(states[0]))
    bad = model.bad_by_name[bad_name]
    for length in range(depth + 1):
        pairs = [(model.now[n], states[-1][n]) for n in model.names]
        solver.push()
        solver.add(z3.substitute(bad, *pairs))
        if solver.check() == z3.sat:
            return _names(model, solver.model(), length)
        solver.pop()
        states.append(model.variables(f"@{length + 1}"))
        chosen = z3.Int(f"step@{length}")
        solver.add(
            z3.Or(
                [
                    z3.And(
                        chosen == number,
                        model.relation(step, states[-2], states[-1]),
                    )
                    for number, step in enumerate(model.steps)
                ]
            )
        )
    return None


def _names(model, found, length):
    numbers = [
        found.eval(z3.Int(f"step@{at}")).as_long() for at in range(length)
    ]
    return [model.steps[number].name for number in numbers]


def _constant(value, sort):
    if sort == z3.BoolSort():
        return z3.BoolVal(value)
    return z3.IntVal(value)
