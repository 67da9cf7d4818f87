//! Which request runs when: classes, team limits, queues, server health, retry budget, suspects.
