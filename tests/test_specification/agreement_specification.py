"""
Specify terms, votes, log, commit and membership change, without time and messages.

The checker is z3-solver: it decides for all choices of voters, log prefixes and changes at once
whether a bad state is reachable. pyModelChecking was not taken because it wants every state
built in Python beforehand, and five members with logs have too many.

A round lets one member be elected, change the membership twice and bring followers to a prefix
of its log; each of these may be left out. Answers may be lost. A delayed answer changes the
leader only, so it is the same as one that comes at once. What a follower knows of the commit
index is left out, since no rule uses it. Bounds: ROUNDS rounds and one more election, five
members (four voters and a learner at the start), MAX_TERM terms, MAX_INDEX log entries, at least
two voters, and the learner is never removed.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations, pairwise
from typing import Any

from z3 import (
    UGE,
    And,
    BitVec,
    BitVecVal,
    Bool,
    BoolVal,
    Concat,
    Extract,
    If,
    Implies,
    Not,
    Or,
    Sum,
    Then,
    is_bool,
    is_true,
    sat,
    unknown,
)

MEMBERS = range(5)
LEARNER = 4
FIRST_VOTERS = 0b01111
MAX_TERM, MAX_INDEX, ROUNDS = 5, 5, 3
INDEXES = range(1, MAX_INDEX + 1)
WIDTH = 4
# Numbers are signed, and twice the number of members must fit.
COUNT_WIDTH = 5
ROUND = ('elect', 'change', 'change', 'replicate')

State = dict[tuple[Any, ...], Any]


@dataclass(frozen=True)
class Rules:
    """Rules that a seeded fault can switch off."""

    own_term_before_change: bool = True
    one_change_at_a_time: bool = True


@dataclass(frozen=True)
class Step:
    """One step of a trace: its kind, its actor and choices, and the state after it."""

    number: int
    kind: str
    actor: int
    chosen: frozenset[int]
    index: int
    state: State


def new_state(step: int) -> State:
    """Return the variables of a state; `done` and `done_at` record commits and their term."""
    keys: list[Any] = [(k, m) for k in ('term', 'length', 'commit') for m in MEMBERS]
    keys += [('match', a, b) for a in MEMBERS for b in MEMBERS]
    keys += [('entry', m, i) for m in MEMBERS for i in INDEXES]
    keys += [(k, i) for k in ('done', 'done_at') for i in INDEXES]
    state: State = {key: BitVec(f'{key}@{step}', WIDTH) for key in keys}
    for m in MEMBERS:
        state['leads', m] = Bool(f'leads {m}@{step}')
        state |= {('voters', m, i): BitVec(f'voters {m} {i}@{step}', 5) for i in INDEXES}
    return state


def initial(state: State) -> list[Any]:
    """Return the first state: term 1, and one committed entry that everyone holds."""
    values: State = dict.fromkeys(state, 0)
    for key in state:
        if key[0] in ('term', 'length', 'commit') or (key[0] != 'match' and key[-1] == 1):
            values[key] = FIRST_VOTERS if key[0] == 'voters' else 1
    values |= {('leads', m): False for m in MEMBERS}
    return [state[key] == value for key, value in values.items()]


def has(members: Any, member: int) -> Any:
    return Extract(member, member, members) == 1


def count(conditions: list[Any]) -> Any:
    return Sum([If(condition, BitVecVal(1, COUNT_WIDTH), 0) for condition in conditions])


def size(members: Any) -> Any:
    return count([has(members, m) for m in MEMBERS])


def at(state: State, kind: str, member: int, index: Any) -> Any:
    """Return a field of the log of a member at a computed index."""
    chosen = state[kind, member, 1]
    for i in INDEXES[1:]:
        chosen = If(index == i, state[kind, member, i], chosen)
    return chosen


def last(state: State, kind: str, member: int) -> Any:
    return at(state, kind, member, state['length', member])


def change_index(state: State, member: int) -> Any:
    """Return the index of the newest change in the log of a member."""
    found = BitVecVal(1, WIDTH)
    for i in INDEXES[1:]:
        differs = state['voters', member, i] != state['voters', member, i - 1]
        found = If(And(i <= state['length', member], differs), i, found)
    return found


def matches(state: State, leader: int, follower: int, index: Any) -> Any:
    """Tell whether a follower holds the leader's entry at an index."""
    same = at(state, 'entry', leader, index) == at(state, 'entry', follower, index)
    return And(index <= state['length', follower], index <= state['length', leader], same)


def advance(state: State, leader: int) -> None:
    """Commit what a majority of the voters in force holds, and retire a removed leader."""
    voters, term = last(state, 'voters', leader), state['term', leader]
    commit = state['commit', leader]
    for i in INDEXES[1:]:
        held = [BoolVal(True) if m == leader else state['match', leader, m] >= i for m in MEMBERS]
        holders = count([And(has(voters, m), held[m]) for m in MEMBERS])
        new = And(i > commit, i <= state['length', leader], state['entry', leader, i] == term)
        commit = If(And(new, 2 * holders > size(voters)), i, commit)
    state['commit', leader] = commit
    for i in INDEXES:
        first = And(i <= commit, state['done', i] == 0)
        earlier = Or(first, And(i <= commit, term < state['done_at', i]))
        state['done', i] = If(first, state['entry', leader, i], state['done', i])
        state['done_at', i] = If(earlier, term, state['done_at', i])
    retired = And(commit >= change_index(state, leader), Not(has(voters, leader)))
    state['leads', leader] = And(state['leads', leader], Not(retired))


def append(state: State, leader: int, voters: Any) -> None:
    state['length', leader] = state['length', leader] + 1
    for i in INDEXES:
        new = state['length', leader] == i
        state['entry', leader, i] = If(new, state['term', leader], state['entry', leader, i])
        state['voters', leader, i] = If(new, voters, state['voters', leader, i])


def elect(state: State, member: int, chosen: Any) -> tuple[list[Any], State]:
    """Elect a member with the votes of the chosen members, and append its first entry."""
    own, after, term = last(state, 'voters', member), dict(state), state['term', member]
    guard = [has(chosen, member), has(own, member), chosen & ~own == 0]
    guard += [2 * size(chosen) > size(own), state['length', member] < MAX_INDEX]
    for m in MEMBERS:
        term = If(And(has(chosen, m), state['term', m] > term), state['term', m], term)
    own_last = last(state, 'entry', member)
    for m in MEMBERS:
        may_vote, other = has(last(state, 'voters', m), m), last(state, 'entry', m)
        if m == LEARNER:
            may_vote = Or(may_vote, change_index(state, member) > change_index(state, m))
        longer = And(own_last == other, state['length', member] >= state['length', m])
        guard.append(Implies(has(chosen, m), And(may_vote, Or(own_last > other, longer))))
        after['term', m] = If(has(chosen, m), term + 1, state['term', m])
        after['leads', m] = And(state['leads', m], Not(has(chosen, m)))
        after['match', member, m] = BitVecVal(0, WIDTH)
    after['leads', member] = BoolVal(True)
    append(after, member, own)
    return [*guard, term < MAX_TERM], after


def change(state: State, leader: int, chosen: Any, rules: Rules) -> tuple[list[Any], State]:
    """Append the promotion of the learner or the removal of one voter."""
    own, after, commit = last(state, 'voters', leader), dict(state), state['commit', leader]
    guard = [state['leads', leader], size(chosen) == 1, state['length', leader] < MAX_INDEX]
    guard += [has(chosen, LEARNER) != ((own & chosen) != 0), size(own ^ chosen) >= 2]
    guard += [change_index(state, leader) <= commit] if rules.one_change_at_a_time else []
    if rules.own_term_before_change:
        guard += [at(state, 'entry', leader, commit) == state['term', leader]]
    append(after, leader, own ^ chosen)
    advance(after, leader)
    return guard, after


def replicate(
    state: State, leader: int, chosen: Any, index: Any, answered: Any
) -> tuple[list[Any], State]:
    """Bring followers to a prefix of the leader's log; some of the answers may be lost."""
    after, known = dict(state), last(state, 'voters', leader) | (1 << LEARNER)
    guard = [state['leads', leader], Not(has(chosen, leader)), chosen != 0, chosen & ~known == 0]
    guard += [answered & ~chosen == 0, index >= 1, index <= state['length', leader]]
    for m in MEMBERS:
        if m == leader:
            continue
        reached, match = has(chosen, m), state['match', leader, m]
        held, older = matches(state, leader, m, index), state['term', m] < state['term', leader]
        # A step that changes nothing is left out.
        news = Or(Not(held), older, And(has(answered, m), match < index))
        current = Or(older, state['term', m] == state['term', leader])
        guard.append(Implies(reached, And(news, current, match <= index)))
        after['term', m] = If(reached, state['term', leader], state['term', m])
        after['leads', m] = And(Not(reached), state['leads', m])
        after['length', m] = If(And(reached, Not(held)), index, state['length', m])
        for key in [(k, m, i) for k in ('entry', 'voters') for i in INDEXES]:
            copied = And(reached, Not(held), key[2] <= index)
            after[key] = If(copied, state[key[0], leader, key[2]], state[key])
        after['match', leader, m] = If(has(answered, m), index, match)
    advance(after, leader)
    return guard, after


def is_bad(state: State) -> Any:
    """Tell whether a term has two leaders or a member lacks what is committed."""
    bad = []
    for a, b in combinations(MEMBERS, 2):
        bad.append(And(state['leads', a], state['leads', b], state['term', a] == state['term', b]))
    for m, i in ((m, i) for m in MEMBERS for i in INDEXES):
        same = state['entry', m, i] == state['done', i]
        due = And(state['done', i] != 0, state['done_at', i] < state['term', m])
        bad.append(And(state['leads', m], due, Not(And(state['length', m] >= i, same))))
        bad.append(And(i <= state['commit', m], Not(same)))
    return Or(bad)


class Checker:
    """Unroll the specification round by round and ask for a reachable state."""

    def __init__(self, rules: Rules, *, replayable: bool = False) -> None:
        self.rules = rules
        self.replayable = replayable
        # Eliminating equations first is twice as fast here as the incremental solver.
        tactics = ('simplify', 'propagate-values', 'solve-eqs', 'bit-blast', 'sat')
        self.solver = Then(*tactics).solver()
        self.states = [new_state(0)]
        self.choices: list[tuple[str, Any, Any, Any, Any, Any]] = []
        self.solver.add(initial(self.states[0]))

    def extend(self, kinds: tuple[str, ...] = ROUND) -> list[State]:
        """Add a round of the given kinds and return its states."""
        actor = BitVec(f'actor@{len(self.choices)}', WIDTH)
        self.solver.add(actor >= 0, actor < len(MEMBERS))
        for kind in kinds:
            self._extend(kind, actor)
        return self.states[-len(kinds) :]

    def _extend(self, kind: str, actor: Any) -> None:
        """Add one step of the actor, which may be left out."""
        number, state, following = len(self.choices), self.states[-1], new_state(len(self.states))
        done, index = Bool(f'done@{number}'), BitVec(f'index@{number}', WIDTH)
        chosen, answered = BitVec(f'chosen@{number}', 5), BitVec(f'answered@{number}', 5)
        values = dict(state)
        for m in MEMBERS:
            if kind == 'elect':
                guard, after = elect(state, m, chosen)
            elif kind == 'change':
                guard, after = change(state, m, chosen, self.rules)
                guard += [Not(has(chosen, m))] if self.replayable else []
            else:
                guard, after = replicate(state, m, chosen, index, answered)
                held = [And(has(chosen, f), matches(state, m, f, index + 1)) for f in MEMBERS]
                guard += [answered == chosen, Not(Or(held))] if self.replayable else []
            acts = And(done, actor == m)
            self.solver.add(Implies(acts, And(guard)))
            for key in [key for key, value in after.items() if value is not state[key]]:
                values[key] = If(acts, after[key], values[key])
        for key, value in values.items():
            if value is state[key]:
                following[key] = value
            else:
                self.solver.add(following[key] == value)
        self.solver.add(Or(done, chosen == 0), Or(And(done, kind == 'replicate'), answered == 0))
        self.states.append(following)
        self.choices.append((kind, done, actor, chosen, index, answered))

    def _course(self, member: int) -> Any:
        """Return the part that a member has in all steps."""
        bits = []
        for _, _, actor, chosen, _, answered in self.choices:
            bits += [Extract(member, member, chosen), Extract(member, member, answered)]
            bits.append(If(actor == member, BitVecVal(1, 1), BitVecVal(0, 1)))
        return Concat(bits)

    def find(self, *conditions: Any) -> list[Step] | None:
        """Return a trace that meets the conditions, None if there is none."""
        self.solver.push()
        # The four first voters are alike, so one order of them stands for all.
        courses = [self._course(m) for m in MEMBERS if m != LEARNER]
        self.solver.add(*[UGE(a, b) for a, b in pairwise(courses)], *conditions)
        result = self.solver.check()
        assert result != unknown, self.solver.reason_unknown()
        trace = self._trace(self.solver.model()) if result == sat else None
        self.solver.pop()
        return trace

    def find_bad(self) -> list[Step] | None:
        """Return a trace to a bad state within the bounds, None if there is none."""
        for kinds in (*[ROUND] * ROUNDS, ROUND[:1]):
            bad = Or([is_bad(state) for state in self.extend(kinds)])
            trace = self.find(bad)
            if trace is not None:
                return trace
            self.solver.add(Not(bad))
        return None

    def _trace(self, model: Any) -> list[Step]:
        """Read a trace from a model."""

        def value(variable: Any) -> Any:
            found = model.eval(variable, model_completion=True)
            return is_true(found) if is_bool(found) else found.as_long()

        steps = []
        for number, (kind, done, actor, chosen, index, _) in enumerate(self.choices):
            if value(done):
                members = frozenset(m for m in MEMBERS if value(chosen) >> m & 1)
                state = {key: value(variable) for key, variable in self.states[number + 1].items()}
                steps.append(Step(number, kind, value(actor), members, value(index), state))
        return steps
