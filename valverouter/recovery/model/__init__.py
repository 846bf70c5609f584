"""An explicit-state model of one dialog: edge proxy, store, server and caller, with crashes and restarts.

`explore` searches, breadth first, every interleaving of deliveries, server answers, missing answers,
timeouts, clock ticks and crashes. The record's transitions and the recovery plans are the program's own
functions from `valverouter.recovery`, so the model follows every change to them. Properties checked in every
state:

    rule 1        the caller never gets two different answers, and an accepted dialog survives a restart
    rule 2        at most one attempt is in flight
    rule 5        no attempt starts within the release delay after a cancelled one
    progress      a running proxy with an unanswered dialog and time left always has an event to wait for

A model can omit one `Safeguard`; the sequence of steps that then violates a property shows that the safeguard
is needed. Connections end with the proxy process: messages that it had sent to the server may still arrive
later, in order, or be lost; messages in transit to the proxy are lost.

Modules: `state` (the state and its messages), `proxy` (the decisions of a running proxy), `operations` (its
writes and sends), `server` (deliveries to the server and its spontaneous steps), `search` (all transitions of
the model, and the search over them).
"""
