"""Prove safety properties of a transition system, or find counterexamples.

If a model has an invariant, proofs are by induction on this invariant;
otherwise z3's fixed-point engine infers an invariant. Both kinds of proof hold
for traces of any length. Counterexamples come from bounded model checking and
are traces of minimum length.
"""

import z3

__all__ = ["Model", "Transition", "failed_obligations", "find_trace", "prove"]

PROOF_TIMEOUT_MS = 60_000


class Transition:
    """Rule by which a model may go from one state to the next.

    :param name: name of the transition in traces
    :param guard: formula that the state before the transition must satisfy
    :param updates: new values by the name of the variable; variables that are
        not in it keep their values
    """

    __slots__ = ("name", "guard", "updates")

    def __init__(self, name, guard, updates):
        self.name = name
        self.guard = guard
        self.updates = updates


class Model:
    """Transition system over boolean and integer variables.

    :param sorts_by_name: z3 sort of each variable, by the variable's name
    :ivar names: names of the variables
    :ivar now: z3 constants of the state before a transition, by variable name
    :ivar next: z3 constants of the state after a transition, by variable name
    :ivar initial: initial values by variable name
    :ivar transitions: list of :class:`Transition`
    :ivar violations_by_property: formulas that are true in the states that
        violate a property, by the property's name
    :ivar invariant: formula for a proof by induction, or ``None``
    """

    def __init__(self, sorts_by_name):
        self.sorts_by_name = sorts_by_name
        self.names = list(sorts_by_name)
        self.now = self.variables("")
        self.next = self.variables("'")
        self.initial = {}
        self.transitions = []
        self.violations_by_property = {}
        self.invariant = None

    def variables(self, suffix):
        """Return z3 constants for the variables of one state.

        :param suffix: suffix of the constants' names, which identifies the
            state
        :returns: z3 constants by variable name, without the suffix
        """
        return {
            name: z3.Const(name + suffix, sort)
            for name, sort in self.sorts_by_name.items()
        }

    def add_transition(self, name, guard, **updates):
        """Add a transition; see :class:`Transition`."""
        self.transitions.append(Transition(name, guard, updates))

    def relation(self, transition, now, following):
        """Return the formula that a transition leads from a state to another.

        :param transition: :class:`Transition`
        :param now: z3 constants of the state before it, by variable name
        :param following: z3 constants of the state after it, by variable name
        """
        substitutions = [(self.now[name], now[name]) for name in self.names]
        conjuncts = [z3.substitute(transition.guard, *substitutions)]
        for name in self.names:
            value = transition.updates.get(name, self.now[name])
            if not z3.is_expr(value):
                value = _z3_value(value, self.sorts_by_name[name])
            value = z3.substitute(value, *substitutions)
            conjuncts.append(following[name] == value)
        return z3.And(conjuncts)

    def initial_condition(self, state):
        """Return the formula that a state is the initial state.

        :param state: z3 constants of the state, by variable name
        """
        return z3.And([state[n] == v for n, v in self.initial.items()])


def prove(model, property_name):
    """Return whether a property is proved for traces of any length.

    :param model: :class:`Model`
    :param property_name: key of ``model.violations_by_property``
    :returns: ``True`` if the property is proved; ``False`` if it is refuted,
        or if the model has an invariant that does not suffice for a proof
    :raises RuntimeError: if z3 can't decide within the time limit; its text
        is z3's reason
    """
    violation = model.violations_by_property[property_name]
    if model.invariant is not None:
        return not failed_obligations(model, violation)
    return _prove_with_spacer(model, violation)


def failed_obligations(model, violation):
    """Return the proof obligations of an induction that do not hold.

    :param model: :class:`Model` with an invariant
    :param violation: formula that is true in the states that violate the
        property
    :returns: list of names: ``initial`` if the initial state violates the
        invariant, ``bad`` if the invariant permits a violation of the
        property, and the name of each transition that does not preserve the
        invariant
    """
    names = model.names
    to_next = [(model.now[name], model.next[name]) for name in names]
    holds_after = z3.substitute(model.invariant, *to_next)
    failed = []
    if _is_satisfiable(
        model.initial_condition(model.now), z3.Not(model.invariant)
    ):
        failed.append("initial")
    if _is_satisfiable(model.invariant, violation):
        failed.append("bad")
    for transition in model.transitions:
        relation = model.relation(transition, model.now, model.next)
        if _is_satisfiable(model.invariant, relation, z3.Not(holds_after)):
            failed.append(transition.name)
    return failed


def _is_satisfiable(*formulas):
    solver = z3.Solver()
    solver.set(timeout=PROOF_TIMEOUT_MS)
    solver.add(*formulas)
    result = solver.check()
    if result == z3.unknown:
        raise RuntimeError(solver.reason_unknown())
    return result == z3.sat


def _prove_with_spacer(model, violation):
    engine = z3.Fixedpoint()
    engine.set(engine="spacer", timeout=PROOF_TIMEOUT_MS)
    sorts = [model.sorts_by_name[name] for name in model.names]
    reached = z3.Function("reached", *sorts, z3.BoolSort())
    engine.register_relation(reached)
    now = [model.now[name] for name in model.names]
    following = [model.next[name] for name in model.names]
    engine.declare_var(*now, *following)
    engine.rule(reached(*now), model.initial_condition(model.now))
    for transition in model.transitions:
        relation = model.relation(transition, model.now, model.next)
        engine.rule(reached(*following), [reached(*now), relation])
    result = engine.query(z3.And(reached(*now), violation))
    if result == z3.unknown:
        raise RuntimeError(engine.reason_unknown())
    return result == z3.unsat


def find_trace(model, property_name, depth):
    """Find a trace of minimum length that violates a property.

    :param model: :class:`Model`
    :param property_name: key of ``model.violations_by_property``
    :param depth: maximum number of transitions in the trace
    :returns: names of the trace's transitions in order, or ``None`` if no
        trace of up to ``depth`` transitions violates the property
    """
    solver = z3.Solver()
    states = [model.variables("@0")]
    solver.add(model.initial_condition(states[0]))
    violation = model.violations_by_property[property_name]
    for length in range(depth + 1):
        substitutions = [(model.now[n], states[-1][n]) for n in model.names]
        solver.push()
        solver.add(z3.substitute(violation, *substitutions))
        if solver.check() == z3.sat:
            return _transition_names(model, solver.model(), length)
        solver.pop()
        states.append(model.variables(f"@{length + 1}"))
        chosen = z3.Int(f"step@{length}")
        solver.add(
            z3.Or(
                [
                    z3.And(
                        chosen == index,
                        model.relation(transition, states[-2], states[-1]),
                    )
                    for index, transition in enumerate(model.transitions)
                ]
            )
        )
    return None


def _transition_names(model, solution, length):
    indices = [
        solution.eval(z3.Int(f"step@{at}")).as_long() for at in range(length)
    ]
    return [model.transitions[index].name for index in indices]


def _z3_value(value, sort):
    if sort == z3.BoolSort():
        return z3.BoolVal(value)
    return z3.IntVal(value)
