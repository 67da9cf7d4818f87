//! Where a prompt goes: hash chain, preference lists, cache hints, cost, choice.
