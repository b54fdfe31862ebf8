"""
Specify terms, votes, log, commit and membership change, without time and messages.

The checker is z3-solver, which decides for all choices of voters, log prefixes and changes at
once whether an unsafe state is reachable. pyModelChecking is not used, because it requires every
state to be built in Python beforehand, and five members with logs have too many states.

In a round, one member can be elected, change the membership twice and replicate a prefix of its
log to followers; each of these steps is optional. Replies can be lost. A delayed reply changes
only the leader, so it is equivalent to an immediate one. The commit index that a follower knows
is not modelled, since no rule uses it. Bounds: ROUNDS rounds and one more election, five members
(four voters and a learner at the start), MAX_TERM terms, MAX_INDEX log entries, at least two
voters, and the learner is never removed.
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
ROUND_STEPS = ('elect', 'change', 'change', 'replicate')

State = dict[tuple[Any, ...], Any]


@dataclass(frozen=True)
class Rules:
    """Hold the rules that a seeded fault can disable."""

    own_term_before_change: bool = True
    one_change_at_a_time: bool = True


@dataclass(frozen=True)
class Step:
    """Hold one step of a trace: its kind, its actor and choices, and the state after it."""

    number: int
    kind: str
    actor: int
    chosen: frozenset[int]
    index: int
    state: State


def new_state(step: int) -> State:
    """Return the variables of a state; `done` and `done_at` are commits and their terms."""
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
    """Return the initial state: term 1, and one committed entry that all members hold."""
    values: State = dict.fromkeys(state, 0)
    for key in state:
        if key[0] in ('term', 'length', 'commit') or (key[0] != 'match' and key[-1] == 1):
            values[key] = FIRST_VOTERS if key[0] == 'voters' else 1
    values |= {('leads', m): False for m in MEMBERS}
    return [state[key] == value for key, value in values.items()]


def contains(members: Any, member: int) -> Any:
    return Extract(member, member, members) == 1


def count(conditions: list[Any]) -> Any:
    return Sum([If(condition, BitVecVal(1, COUNT_WIDTH), 0) for condition in conditions])


def member_count(members: Any) -> Any:
    return count([contains(members, m) for m in MEMBERS])


def log_value_at(state: State, kind: str, member: int, index: Any) -> Any:
    """Return a field of the log of a member at a symbolic index."""
    chosen = state[kind, member, 1]
    for i in INDEXES[1:]:
        chosen = If(index == i, state[kind, member, i], chosen)
    return chosen


def last_log_value(state: State, kind: str, member: int) -> Any:
    return log_value_at(state, kind, member, state['length', member])


def change_index(state: State, member: int) -> Any:
    """Return the index of the newest change in the log of a member."""
    newest_index = BitVecVal(1, WIDTH)
    for i in INDEXES[1:]:
        differs = state['voters', member, i] != state['voters', member, i - 1]
        newest_index = If(And(i <= state['length', member], differs), i, newest_index)
    return newest_index


def has_same_entry(state: State, leader: int, follower: int, index: Any) -> Any:
    """Return whether a follower holds the leader's entry at an index."""
    same = log_value_at(state, 'entry', leader, index) == log_value_at(
        state, 'entry', follower, index
    )
    return And(index <= state['length', follower], index <= state['length', leader], same)


def advance_commit(state: State, leader: int) -> None:
    """Commit the entries that a majority of the voters holds, and retire a removed leader."""
    voters, term = last_log_value(state, 'voters', leader), state['term', leader]
    commit = state['commit', leader]
    for i in INDEXES[1:]:
        holds_entry = [
            BoolVal(True) if m == leader else state['match', leader, m] >= i for m in MEMBERS
        ]
        holders = count([And(contains(voters, m), holds_entry[m]) for m in MEMBERS])
        is_new = And(i > commit, i <= state['length', leader], state['entry', leader, i] == term)
        commit = If(And(is_new, 2 * holders > member_count(voters)), i, commit)
    state['commit', leader] = commit
    for i in INDEXES:
        first = And(i <= commit, state['done', i] == 0)
        earlier = Or(first, And(i <= commit, term < state['done_at', i]))
        state['done', i] = If(first, state['entry', leader, i], state['done', i])
        state['done_at', i] = If(earlier, term, state['done_at', i])
    retired = And(commit >= change_index(state, leader), Not(contains(voters, leader)))
    state['leads', leader] = And(state['leads', leader], Not(retired))


def append(state: State, leader: int, voters: Any) -> None:
    state['length', leader] = state['length', leader] + 1
    for i in INDEXES:
        is_new = state['length', leader] == i
        state['entry', leader, i] = If(is_new, state['term', leader], state['entry', leader, i])
        state['voters', leader, i] = If(is_new, voters, state['voters', leader, i])


def elect(state: State, member: int, chosen: Any) -> tuple[list[Any], State]:
    """Elect a member with the votes of the chosen members, and append its first entry."""
    own, after, term = last_log_value(state, 'voters', member), dict(state), state['term', member]
    guard = [contains(chosen, member), contains(own, member), chosen & ~own == 0]
    guard += [2 * member_count(chosen) > member_count(own), state['length', member] < MAX_INDEX]
    for m in MEMBERS:
        term = If(And(contains(chosen, m), state['term', m] > term), state['term', m], term)
    own_last = last_log_value(state, 'entry', member)
    for m in MEMBERS:
        may_vote, other = (
            contains(last_log_value(state, 'voters', m), m),
            last_log_value(state, 'entry', m),
        )
        if m == LEARNER:
            may_vote = Or(may_vote, change_index(state, member) > change_index(state, m))
        longer = And(own_last == other, state['length', member] >= state['length', m])
        guard.append(Implies(contains(chosen, m), And(may_vote, Or(own_last > other, longer))))
        after['term', m] = If(contains(chosen, m), term + 1, state['term', m])
        after['leads', m] = And(state['leads', m], Not(contains(chosen, m)))
        after['match', member, m] = BitVecVal(0, WIDTH)
    after['leads', member] = BoolVal(True)
    append(after, member, own)
    return [*guard, term < MAX_TERM], after


def change(state: State, leader: int, chosen: Any, rules: Rules) -> tuple[list[Any], State]:
    """Append the promotion of the learner or the removal of one voter."""
    own, after, commit = (
        last_log_value(state, 'voters', leader),
        dict(state),
        state['commit', leader],
    )
    guard = [state['leads', leader], member_count(chosen) == 1, state['length', leader] < MAX_INDEX]
    guard += [contains(chosen, LEARNER) != ((own & chosen) != 0), member_count(own ^ chosen) >= 2]
    guard += [change_index(state, leader) <= commit] if rules.one_change_at_a_time else []
    if rules.own_term_before_change:
        guard += [log_value_at(state, 'entry', leader, commit) == state['term', leader]]
    append(after, leader, own ^ chosen)
    advance_commit(after, leader)
    return guard, after


def replicate(
    state: State, leader: int, chosen: Any, index: Any, replied: Any
) -> tuple[list[Any], State]:
    """Replicate a prefix of the leader's log to followers; some of the replies may be lost."""
    after, known = dict(state), last_log_value(state, 'voters', leader) | (1 << LEARNER)
    guard = [
        state['leads', leader],
        Not(contains(chosen, leader)),
        chosen != 0,
        chosen & ~known == 0,
    ]
    guard += [replied & ~chosen == 0, index >= 1, index <= state['length', leader]]
    for m in MEMBERS:
        if m == leader:
            continue
        is_reached, match = contains(chosen, m), state['match', leader, m]
        holds_entry, has_older_term = (
            has_same_entry(state, leader, m, index),
            state['term', m] < state['term', leader],
        )
        # Steps that change nothing are excluded.
        changes_state = Or(
            Not(holds_entry), has_older_term, And(contains(replied, m), match < index)
        )
        current = Or(has_older_term, state['term', m] == state['term', leader])
        guard.append(Implies(is_reached, And(changes_state, current, match <= index)))
        after['term', m] = If(is_reached, state['term', leader], state['term', m])
        after['leads', m] = And(Not(is_reached), state['leads', m])
        after['length', m] = If(And(is_reached, Not(holds_entry)), index, state['length', m])
        for key in [(k, m, i) for k in ('entry', 'voters') for i in INDEXES]:
            copied = And(is_reached, Not(holds_entry), key[2] <= index)
            after[key] = If(copied, state[key[0], leader, key[2]], state[key])
        after['match', leader, m] = If(contains(replied, m), index, match)
    advance_commit(after, leader)
    return guard, after


def violates_safety(state: State) -> Any:
    """Return whether a term has two leaders or a member lacks a committed entry."""
    violations = []
    for a, b in combinations(MEMBERS, 2):
        violations.append(
            And(state['leads', a], state['leads', b], state['term', a] == state['term', b])
        )
    for m, i in ((m, i) for m in MEMBERS for i in INDEXES):
        same = state['entry', m, i] == state['done', i]
        earlier_term = And(state['done', i] != 0, state['done_at', i] < state['term', m])
        violations.append(
            And(state['leads', m], earlier_term, Not(And(state['length', m] >= i, same)))
        )
        violations.append(And(i <= state['commit', m], Not(same)))
    return Or(violations)


class Checker:
    """Unroll the specification round by round and search for reachable states."""

    def __init__(self, rules: Rules, *, replayable: bool = False) -> None:
        self.rules = rules
        self.replayable = replayable
        # Eliminating equations first is twice as fast as the incremental solver.
        tactics = ('simplify', 'propagate-values', 'solve-eqs', 'bit-blast', 'sat')
        self.solver = Then(*tactics).solver()
        self.states = [new_state(0)]
        self.choices: list[tuple[str, Any, Any, Any, Any, Any]] = []
        self.solver.add(initial(self.states[0]))

    def extend(self, kinds: tuple[str, ...] = ROUND_STEPS) -> list[State]:
        """Add a round of the given kinds and return its states."""
        actor = BitVec(f'actor@{len(self.choices)}', WIDTH)
        self.solver.add(actor >= 0, actor < len(MEMBERS))
        for kind in kinds:
            self._extend(kind, actor)
        return self.states[-len(kinds) :]

    def _extend(self, kind: str, actor: Any) -> None:
        """Add one optional step of the actor."""
        number, state, following = len(self.choices), self.states[-1], new_state(len(self.states))
        done, index = Bool(f'done@{number}'), BitVec(f'index@{number}', WIDTH)
        chosen, replied = BitVec(f'chosen@{number}', 5), BitVec(f'answered@{number}', 5)
        values = dict(state)
        for m in MEMBERS:
            if kind == 'elect':
                guard, after = elect(state, m, chosen)
            elif kind == 'change':
                guard, after = change(state, m, chosen, self.rules)
                guard += [Not(contains(chosen, m))] if self.replayable else []
            else:
                guard, after = replicate(state, m, chosen, index, replied)
                holds_entry = [
                    And(contains(chosen, f), has_same_entry(state, m, f, index + 1))
                    for f in MEMBERS
                ]
                guard += [replied == chosen, Not(Or(holds_entry))] if self.replayable else []
            acts = And(done, actor == m)
            self.solver.add(Implies(acts, And(guard)))
            for key in [key for key, value in after.items() if value is not state[key]]:
                values[key] = If(acts, after[key], values[key])
        for key, value in values.items():
            if value is state[key]:
                following[key] = value
            else:
                self.solver.add(following[key] == value)
        self.solver.add(Or(done, chosen == 0), Or(And(done, kind == 'replicate'), replied == 0))
        self.states.append(following)
        self.choices.append((kind, done, actor, chosen, index, replied))

    def _choices_of_member(self, member: int) -> Any:
        """Return the choices of a member in all steps as one bit vector."""
        bits = []
        for _, _, actor, chosen, _, replied in self.choices:
            bits += [Extract(member, member, chosen), Extract(member, member, replied)]
            bits.append(If(actor == member, BitVecVal(1, 1), BitVecVal(0, 1)))
        return Concat(bits)

    def find(self, *conditions: Any) -> list[Step] | None:
        """Return a trace that meets the conditions, None if there is none."""
        self.solver.push()
        # The four initial voters are interchangeable, so one order of them represents all.
        choice_sequences = [self._choices_of_member(m) for m in MEMBERS if m != LEARNER]
        self.solver.add(*[UGE(a, b) for a, b in pairwise(choice_sequences)], *conditions)
        result = self.solver.check()
        assert result != unknown, self.solver.reason_unknown()
        trace = self._trace(self.solver.model()) if result == sat else None
        self.solver.pop()
        return trace

    def find_violation(self) -> list[Step] | None:
        """Return a trace to an unsafe state within the bounds, None if there is none."""
        for kinds in (*[ROUND_STEPS] * ROUNDS, ROUND_STEPS[:1]):
            violations = Or([violates_safety(state) for state in self.extend(kinds)])
            trace = self.find(violations)
            if trace is not None:
                return trace
            self.solver.add(Not(violations))
        return None

    def _trace(self, model: Any) -> list[Step]:
        """Read a trace from a model."""

        def value(variable: Any) -> Any:
            evaluated = model.eval(variable, model_completion=True)
            return is_true(evaluated) if is_bool(evaluated) else evaluated.as_long()

        steps = []
        for number, (kind, done, actor, chosen, index, _) in enumerate(self.choices):
            if value(done):
                members = frozenset(m for m in MEMBERS if value(chosen) >> m & 1)
                state = {key: value(variable) for key, variable in self.states[number + 1].items()}
                steps.append(Step(number, kind, value(actor), members, value(index), state))
        return steps
