/*
 * The gang protocol: two agents, one job, the fold of the log, two planners.
 *
 * Agent 0 leads. A message is a mailbox: sending may lose it, receiving may leave it for a second
 * delivery. A record is appended by one step and may be appended again later under the same
 * identity, as after a lost answer. Leases are counted in ticks; the worker ends a task whose lease
 * is over, also when its agent is gone. The member counts its lease from its own last message that
 * the lead has heard: an age that every tick raises travels with each message. The lead counts its
 * own from the start of the round that every member answered.
 *
 * Each MUTATION_* macro removes one guard, to prove that the check can fail.
 */

#ifndef LEASE
#define LEASE 2
#endif
#define LOSSES 1
#define REPEATS 1
#define RESTARTS 1
#ifndef RENEWALS
#define RENEWALS 1
#endif
#define TAKEOVERS 1
#define MAX_ATTEMPTS 2

mtype = { PENDING, PLACED, STARTED, ENDED };
mtype = { NONE, COMPLETED, FAILED, MAY_HAVE_RUN, NOT_RUN };

/* The fold. */
mtype phase = PENDING;
mtype outcome = NONE;
byte attempt = 0;
byte lead_incarnation = 0;
byte epoch = 1;
byte known[2];

/* The agents, and what runs at their workers. */
byte incarnation[2];
byte held[2];
byte running[2];
byte lease[2];
bool ready_sent = false;
bool went = false;
byte report = 0;
bool report_completed = false;
byte report_incarnation = 0;

/* Mailboxes: attempt and incarnation, 0 for none. */
byte ready_attempt = 0;
byte ready_incarnation = 0;
byte go_attempt = 0;
byte go_incarnation = 0;
byte go_age = 0;
byte renew_attempt = 0;
byte renew_age = 0;
byte heard_age = 0;
byte round_age = 0;
byte acked = 0;
byte begun = 0;

/* A start record that may be appended a second time. */
byte again_attempt = 0;
byte again_incarnation = 0;

/* Budgets of faults. */
byte losses = LOSSES;
byte repeats = REPEATS;
byte restarts = RESTARTS;
byte renewals = RENEWALS;
byte takeovers = TAKEOVERS;
bool may_cancel = true;

/* What the claims look at. */
bool is_repeatable;
byte ran = 0;
byte alone = 0;
byte alone_attempt = 0;

/* Fold: an attempt that did not complete. */
inline interrupted(cause) {
    if
    :: phase == PLACED -> phase = PENDING
#ifdef MUTATION_AT_MOST_ONCE
    :: phase == STARTED && attempt < MAX_ATTEMPTS -> phase = PENDING
    :: phase == STARTED && attempt >= MAX_ATTEMPTS -> phase = ENDED; outcome = FAILED
#else
    :: phase == STARTED && is_repeatable && attempt < MAX_ATTEMPTS -> phase = PENDING
    :: phase == STARTED && is_repeatable && attempt >= MAX_ATTEMPTS ->
        phase = ENDED; outcome = FAILED
    :: phase == STARTED && !is_repeatable -> phase = ENDED; outcome = MAY_HAVE_RUN
#endif
    :: else -> skip
    fi
}

/* Fold: the record of a start. */
inline apply_started(which, by) {
    if
    :: phase == PLACED && attempt == which && known[0] == by ->
        phase = STARTED; lead_incarnation = by
    :: else -> skip
    fi
}

/* A worker begins a member's tasks. */
inline begin(id, which, ticks) {
    assert(outcome != NOT_RUN);
    assert(is_repeatable || ran == 0 || ran == which);
    ran = which; running[id] = which; lease[id] = ticks;
    if
    :: running[0] == running[1] -> alone = 0; alone_attempt = 0
    :: else -> skip
    fi
}

inline send_go() {
    if
    :: go_attempt = held[0]; go_incarnation = ready_incarnation; go_age = heard_age
    :: losses > 0 -> losses--
    fi
}

inline send_renew() {
    if
    :: renew_attempt = running[0]; renew_age = heard_age
    :: losses > 0 -> losses--
    fi
}

proctype Planner(byte own_epoch) {
    byte planned;
end:
    do
    :: atomic {
        epoch == own_epoch && phase == PENDING && planned == 0 &&
        known[0] != 0 && known[1] != 0 -> planned = attempt + 1
    }
    :: atomic {
        planned != 0 ->
        if
        :: own_epoch == epoch && phase == PENDING && planned == attempt + 1 &&
           known[0] != 0 && known[1] != 0 -> phase = PLACED; attempt = planned
        :: else -> skip
        fi;
        planned = 0
    }
    :: atomic {
        own_epoch == 2 && epoch == 1 && takeovers > 0 -> takeovers--; epoch = 2
    }
    od
}

proctype Caller() {
end:
    do
    :: atomic {
        may_cancel ->
        may_cancel = false;
        if
#ifdef MUTATION_NOT_RUN
        :: phase != ENDED -> phase = ENDED; outcome = NOT_RUN; assert(ran == 0)
#else
        :: phase == PENDING || phase == PLACED ->
            phase = ENDED;
            if
            :: ran == 0 -> outcome = NOT_RUN
            :: else -> outcome = MAY_HAVE_RUN
            fi
        :: phase == STARTED -> phase = ENDED; outcome = MAY_HAVE_RUN
#endif
        :: else -> skip
        fi
    }
    :: atomic { may_cancel -> may_cancel = false }
    od
}

/* What both agents do. */
proctype Agent(byte id) {
end:
    do
    /* Hold the place of a new attempt, once nothing runs here. */
    :: atomic {
        phase == PLACED && known[id] == incarnation[id] && held[id] != attempt &&
        running[id] == 0 ->
        held[id] = attempt;
        if
        :: id == 0 -> went = false; acked = 0
        :: else -> ready_sent = false
        fi
    }
    /* The log no longer has the attempt. */
    :: atomic {
        held[id] != 0 && (phase == PENDING || phase == ENDED || attempt != held[id]) ->
        held[id] = 0; running[id] = 0; lease[id] = 0
    }
    /* The process dies; its tasks run on until their lease lapses. */
    :: atomic {
        restarts > 0 && phase != ENDED && incarnation[id] == known[id] ->
        restarts--; incarnation[id]++; held[id] = 0;
        if
        :: id == 0 -> report = 0; went = false
        :: else -> ready_sent = false; begun = 0
        fi
    }
    /* An entry reports the loss. */
    :: atomic {
        known[id] != 0 && known[id] != incarnation[id] -> known[id] = 0;
#ifndef MUTATION_FORGOTTEN
        interrupted(id)
#endif
    }
    /* The new incarnation stops what runs, and joins. */
    :: atomic {
        known[id] != incarnation[id] ->
        running[id] = 0; lease[id] = 0; known[id] = incarnation[id];
#ifndef MUTATION_FORGOTTEN
        interrupted(id)
#endif
    }
    od
}

proctype Lead() {
end:
    do
    /* Every member is ready: ask for the start. */
    :: atomic {
        phase == PLACED && held[0] == attempt && ready_attempt == attempt &&
        known[0] == incarnation[0] ->
        apply_started(held[0], incarnation[0]);
        if
        :: repeats > 0 -> repeats--; again_attempt = held[0]; again_incarnation = incarnation[0]
        :: skip
        fi
    }
    /* The start is in the log under this incarnation: go. */
    :: atomic {
        phase == STARTED && held[0] == attempt && lead_incarnation == incarnation[0] && !went &&
        report == 0 ->
        went = true; round_age = 0; begin(0, held[0], LEASE); send_go()
    }
    /* A go that got lost is sent again while the lease lasts. */
    :: atomic {
        went && running[0] != 0 && running[0] == held[0] && running[1] != held[0] &&
        go_attempt == 0 && acked != held[0] && lease[0] > 0 && losses > 0 -> send_go()
    }
    /* A round of renewals begins once the member answered the last one. */
    :: atomic {
        running[0] != 0 && running[0] == held[0] && renewals > 0 && renew_attempt == 0 &&
#ifdef MUTATION_PART_ALONE
        true ->
#else
        acked == held[0] ->
#endif
        renewals--; acked = 0;
#ifdef MUTATION_LEAD_LEASE
        lease[0] = LEASE;
#else
        if
        :: lease[0] < LEASE - round_age -> lease[0] = LEASE - round_age
        :: else -> skip
        fi;
#endif
        round_age = 0; send_renew()
    }
    /* The gang finished. */
    :: atomic {
        running[0] != 0 && running[0] == held[0] && running[1] == running[0] ->
        report = running[0]; report_completed = true; report_incarnation = incarnation[0];
        running[0] = 0; running[1] = 0; lease[0] = 0; lease[1] = 0
    }
    /* The lead's own lease is over: the gang lapsed. */
    :: atomic {
        went && held[0] != 0 && running[0] == 0 && report == 0 && phase == STARTED &&
        attempt == held[0] && lead_incarnation == incarnation[0] ->
        report = held[0]; report_completed = false; report_incarnation = incarnation[0]
    }
    /* The report is appended until the log has it. */
    :: atomic {
        report != 0 ->
        if
        :: report == attempt && phase == STARTED && known[0] == report_incarnation ->
            if
            :: report_completed -> phase = ENDED; outcome = COMPLETED
            :: else -> interrupted(0)
            fi
        :: else -> skip
        fi;
        report = 0
    }
    /* A record whose answer was lost is appended again. */
    :: atomic {
        again_attempt != 0 ->
        apply_started(again_attempt, again_incarnation); again_attempt = 0
    }
    od
}

proctype Member() {
end:
    do
    /* Ready, again while it may have got lost. */
    :: atomic {
        held[1] != 0 && held[1] == attempt && running[1] == 0 && begun != held[1] &&
        phase == PLACED && (!ready_sent || heard_age > 0) ->
        if
        :: ready_attempt = held[1]; ready_incarnation = incarnation[1]; ready_sent = true;
           heard_age = 0
        :: losses > 0 -> losses--
        fi
    }
    /* Go, for this incarnation only. */
    :: atomic {
        go_attempt != 0 ->
        if
#ifdef MUTATION_OLD_GO
        :: held[1] != 0 && running[1] == 0 ->
#else
        :: go_attempt == held[1] && go_incarnation == incarnation[1] && running[1] == 0 &&
           known[1] == incarnation[1] && begun != held[1] && go_age < LEASE ->
#endif
#ifdef MUTATION_STALE_GO
            begin(1, go_attempt, LEASE);
#else
            begin(1, go_attempt, LEASE - go_age);
#endif
            begun = go_attempt; acked = go_attempt; heard_age = 0
        :: else -> skip
        fi;
        if
        :: go_attempt = 0
        :: repeats > 0 -> repeats--
        fi
    }
    /* Renewal. */
    :: atomic {
        renew_attempt != 0 ->
        if
        :: running[1] == renew_attempt && held[1] == renew_attempt && renew_age < LEASE ->
            if
            :: lease[1] < LEASE - renew_age -> lease[1] = LEASE - renew_age
            :: else -> skip
            fi;
            if
            :: acked = renew_attempt; heard_age = 0
            :: losses > 0 -> losses--
            fi
        :: else -> skip
        fi;
        renew_attempt = 0
    }
    od
}

/* Time at the workers. */
proctype Clock() {
end:
    do
    :: atomic {
        running[0] != 0 || running[1] != 0 ->
        if
        :: running[0] != running[1] && alone_attempt == running[0] + running[1] -> alone++
        :: running[0] != running[1] && alone_attempt != running[0] + running[1] ->
            alone_attempt = running[0] + running[1]; alone = 1
        :: else -> alone = 0; alone_attempt = 0
        fi;
        assert(alone <= LEASE);
        if :: heard_age < LEASE -> heard_age++ :: else fi;
        if :: go_age < LEASE -> go_age++ :: else fi;
        if :: renew_age < LEASE -> renew_age++ :: else fi;
        if :: round_age < LEASE -> round_age++ :: else fi;
        if
        :: running[0] != 0 -> lease[0]--; if :: lease[0] == 0 -> running[0] = 0 :: else fi
        :: else
        fi;
        if
        :: running[1] != 0 -> lease[1]--; if :: lease[1] == 0 -> running[1] = 0 :: else fi
        :: else
        fi;
        if
        :: running[0] == 0 && running[1] == 0 -> alone = 0; alone_attempt = 0
        :: else
        fi
    }
    od
}

/* When nothing more can happen, the job has ended and nothing runs. */
proctype Monitor() {
    timeout -> assert(phase == ENDED && outcome != NONE && running[0] == 0 && running[1] == 0)
}

init {
    atomic {
        if
        :: is_repeatable = true
        :: is_repeatable = false
        fi;
        incarnation[0] = 1; incarnation[1] = 1; known[0] = 1; known[1] = 1;
        run Planner(1); run Planner(2); run Caller(); run Agent(0); run Agent(1);
        run Lead(); run Member(); run Clock(); run Monitor()
    }
}
