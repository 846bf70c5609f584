"""An explicit-state model of one dialog: edge proxy, store, server and caller, with restarts.

`explore` walks, breadth first, every order of deliveries, server answers, missing answers, time-outs, clock
ticks and crashes between any two steps. The record's transitions and the plans after a restart are the real
functions of `valverouter.recovery`, so a change there changes the model. Checked in every state:

    rule 1        the caller never gets two different answers, and an accepted dialog survives a restart
    rule 2        never two attempts in flight
    rule 5        no attempt within the release delay of a cancelled one
    progress      a running proxy with time left and an unanswered dialog always has something to wait for

An `Safeguard` names one write or safeguard that is left out; the steps that then break a rule are the proof
that it is needed. Connections end with the proxy's process: what it had sent to the server may still arrive,
in order, at any later time, or never; what was on its way to it is lost.

Modules: `state` (the world), `proxy` (what a running proxy decides), `operations` (its writes and sends),
`server` (deliveries and the server's own steps), `search` (all steps of the world, and the walk over them).
"""
