/*
 * Stored roster of workers: the workers that the next leader waits for before it starts a task of an earlier term. One
 * task that may start from the beginning, two workers, leaders in turn.
 *
 * Every option of a process is one atomic step, and a process may wait between any two of them for any time. Bounds and
 * mutations are macros; docs/model.md explains both.
 */

#ifndef TERMS
#define TERMS 3    /* leaderships */
#endif
#ifndef RUNS
#define RUNS 3     /* orders to start the task */
#endif
#ifndef REMOVALS
#define REMOVALS 2 /* removals of a worker from the roster */
#endif
#ifndef LOSSES
#define LOSSES 1   /* commits without a reply, or refused by the store */
#endif
#ifndef LAPSES
#define LAPSES 1   /* waits for the leases of earlier terms */
#endif

#define WORKERS 2
#define OTHER(p) leader[1 - p]

/* Phase of a run, as its leader knows it. */
#define NONE 0
#define STARTING 1 /* the order is on its way */
#define ACTIVE 2

typedef Leader {
  byte term;               /* 0 while the process does not lead */
  byte tip;                /* commits in the store, as far as this leader knows */
  bool is_done;            /* the task is done */
  bool is_gated;           /* an earlier leader may have started the task */
  bool must_answer[WORKERS]; /* the gate waits for the worker */
  bool has_answered[WORKERS];
  bool is_member[WORKERS]; /* the next write of the roster contains the worker */
  bool is_enrolled[WORKERS]; /* the roster in the store certainly contains the worker */
  byte known_run[WORKERS];
  bool is_read[WORKERS];   /* an end as done of the worker was read, and the change that it led to is not durable */
  bool is_unsaved;         /* the change of the task is not durable */
  bool is_stale;           /* the roster has to be written */
  bool is_sent;            /* a commit is in flight */
  bool is_applied;         /* it took effect, and the reply is on its way */
  bool may_be_applied;     /* a reply was lost */
  bool sent_done;          /* values of the commit in flight */
  bool sent_roster;
  bool sent[WORKERS];
};

/* The store. */
byte key, newest, tip, writer;
bool stored_done;
bool roster[WORKERS] = true;

/* A commit of a process that no longer leads, which the store executes late. */
bool late, late_done, late_roster;
bool late_member[WORKERS];
byte late_term, late_tip;

/* The workers. An end as done is repeated until it is acknowledged. */
byte fence[WORKERS];
bool is_running[WORKERS];
byte run_term[WORKERS];
bool has_done[WORKERS];

/* Orders to start that are on their way, by process and worker: their terms, 0 without one. */
byte order[4];
#define order_of(process, w) order[2 * (process) + w]

Leader leader[2];
byte runs, removals, losses, lapses;

/* Variables for the assertions. */
bool is_finished;  /* a run ended as done, and its end is on a worker that no leader has given up, or is acknowledged */

#define me leader[p]
#define is_applicable(term, tip_expected) (key == term && tip == tip_expected)
#define is_reached(w) (me.has_answered[w] || !me.must_answer[w])

inline forget_all() {
  if
  :: me.is_sent && !me.is_applied && !late && is_applicable(me.term, me.tip) ->
     late = true; late_done = me.sent_done; late_roster = me.sent_roster;
     late_member[0] = me.sent[0]; late_member[1] = me.sent[1]; late_term = me.term; late_tip = me.tip
  :: else
  fi;
  me.term = 0; me.tip = 0; me.is_done = false; me.is_gated = false; me.is_unsaved = false; me.is_stale = false;
  me.is_sent = false; me.is_applied = false; me.may_be_applied = false; me.sent_done = false; me.sent_roster = false;
  for (w : 0 .. WORKERS - 1) {
    me.must_answer[w] = false; me.has_answered[w] = false; me.is_member[w] = false; me.is_enrolled[w] = false;
    me.known_run[w] = NONE; me.is_read[w] = false; me.sent[w] = false
  }
  w = 0
}

/* Takes the leader's key, and loads what is durable. */
inline lead() {
  newest++; key = newest; me.term = newest; me.tip = tip; me.is_done = stored_done; me.is_gated = (newest > 1);
  for (w : 0 .. WORKERS - 1) {
    me.must_answer[w] = roster[w]; me.is_member[w] = roster[w]; me.is_enrolled[w] = roster[w]
  }
  w = 0
}

inline store_write(done, has_roster, first, second, author) {
  tip++; writer = author;
  if :: done -> stored_done = true :: else fi;
  if :: has_roster -> roster[0] = first; roster[1] = second :: else fi
}

/* A commit has a limited number of changes. It writes the newest roster, even if the write of the roster was queued before
   the change of the task. */
inline send_commit() {
  me.is_sent = true;
  if
  :: me.sent_done = me.is_unsaved; me.is_unsaved = false
  :: me.is_stale
  fi;
  me.sent_roster = me.is_stale; me.is_stale = false;
  me.sent[0] = me.is_member[0]; me.sent[1] = me.is_member[1]
}

/* The leader learns that its commit took effect. */
inline commit() {
  me.tip++;
  for (w : 0 .. WORKERS - 1) {
    if :: me.sent_roster && me.sent[w] && me.is_member[w] -> me.is_enrolled[w] = true :: else fi;
#ifdef REMOVE_WHEN_DURABLE
    if :: me.sent_roster && !me.sent[w] -> me.is_enrolled[w] = false :: else fi;
#endif
    if :: me.sent_done && me.is_read[w] -> me.is_read[w] = false; has_done[w] = false :: else fi;
    me.sent[w] = false
  }
  w = 0;
  me.is_sent = false; me.is_applied = false; me.may_be_applied = false; me.sent_done = false; me.sent_roster = false
}

inline execute_commit() {
  if
  :: is_applicable(me.term, me.tip) ->
     store_write(me.sent_done, me.sent_roster, me.sent[0], me.sent[1], me.term); me.is_applied = true
  :: else ->
     if
     :: me.may_be_applied && tip == me.tip + 1 && writer == me.term -> me.is_applied = true
     :: else -> forget_all()
     fi
  fi
}

inline finish(w) {
  me.is_done = true; me.is_unsaved = true; me.is_read[w] = true
}

/* The worker answers a renewal with its run and its end. A run that is neither listed nor on its way is over. */
inline renew(w) {
  fence[w] = me.term; me.has_answered[w] = true;
  if :: has_done[w] && !me.is_read[w] -> finish(w) :: else fi;
  if
  :: is_running[w] && !me.is_done -> me.known_run[w] = ACTIVE; me.is_gated = false
  :: is_running[w] && me.is_done ->
     is_running[w] = false; run_term[w] = 0;
     if :: me.known_run[w] == ACTIVE -> me.known_run[w] = NONE :: else fi
  :: !is_running[w] && me.known_run[w] == ACTIVE -> me.known_run[w] = NONE
  :: else
  fi
}

/* A leader removes a worker from the roster on which it knows of no run and of no end whose change is not durable, if no
   run of an earlier term can be there. That the worker is draining or unlisted is left out, which allows more removals. */
#ifdef REMOVE_UNREACHED
#define may_have_earlier_run(w) (false)
#else
#define may_have_earlier_run(w) (!is_reached(w))
#endif
#ifdef REMOVE_WITH_RUN
#define has_run(w) (false)
#else
#define has_run(w) (me.known_run[w] != NONE)
#endif
#ifdef REMOVE_WITH_END
#define has_end(w) (false)
#else
#define has_end(w) (me.is_read[w])
#endif
#define may_remove(w) (me.is_member[w] && !has_run(w) && !has_end(w) && !may_have_earlier_run(w))

inline remove(w) {
  removals++; me.is_member[w] = false; me.is_stale = true;
#ifndef REMOVE_WHEN_DURABLE
  me.is_enrolled[w] = false
#endif
}

#ifdef START_BEFORE_ENROLLED
#define is_enrolled_for_start(w) (me.is_member[w])
#else
#define is_enrolled_for_start(w) (me.is_enrolled[w])
#endif
#ifdef START_GATED
#define is_gate_open (true)
#else
#define is_gate_open (!me.is_gated || (is_reached(0) && is_reached(1)))
#endif
#define may_start(w) (!me.is_done && me.known_run[0] == NONE && me.known_run[1] == NONE && is_gate_open \
  && is_enrolled_for_start(w) && me.has_answered[w] && order_of(p, w) == 0)

/* The leases of earlier terms have lapsed: their leader does not act any more, no order of it arrives, and its runs are
   stopped. */
#define may_lapse (me.term != 0 && me.is_gated && (OTHER(p).term == 0 || OTHER(p).term > me.term))

inline lapse() {
  lapses++;
  for (w : 0 .. WORKERS - 1) {
    if :: order_of(p, w) != 0 && order_of(p, w) < me.term -> order_of(p, w) = 0 :: else fi;
    if :: order_of(1 - p, w) != 0 && order_of(1 - p, w) < me.term -> order_of(1 - p, w) = 0 :: else fi;
    if
    :: is_running[w] && run_term[w] < me.term && me.known_run[w] == NONE -> is_running[w] = false; run_term[w] = 0
    :: else
    fi;
    /* An end on a worker that does not answer for so long is given up. */
    if
    :: me.must_answer[w] && !me.has_answered[w] && has_done[w] -> has_done[w] = false; is_finished = stored_done
    :: else
    fi;
    me.must_answer[w] = false
  }
  w = 0
}

proctype Process(byte p) {
  byte w;
  do
  :: atomic { me.term == 0 && key == 0 && newest < TERMS && (newest != 0 || p == 0) -> lead() }
  /* Learns that its key is gone. */
  :: atomic { me.term != 0 && key != me.term -> forget_all() }
  :: atomic { me.term != 0 && !me.is_sent && (me.is_unsaved || me.is_stale) -> send_commit() }
  :: atomic { me.is_sent && !me.is_applied -> execute_commit() }
  :: atomic { me.is_applied -> commit() }
  /* The reply is lost, and the commit is repeated. */
  :: atomic { me.is_applied && losses < LOSSES -> losses++; me.is_applied = false; me.may_be_applied = true }
  /* The store refuses the commit; its changes return to the queue. */
  :: atomic { me.is_sent && !me.is_applied && !me.may_be_applied && losses < LOSSES -> losses++;
     me.is_unsaved = (me.is_unsaved || me.sent_done); me.is_stale = (me.is_stale || me.sent_roster);
     me.is_sent = false; me.sent_done = false; me.sent_roster = false; me.sent[0] = false; me.sent[1] = false }
  :: atomic { may_lapse && lapses < LAPSES -> lapse() }
  :: atomic { me.term != 0 ->
     if :: w = 0 :: w = 1 fi;
     if
     /* The worker refuses the order, since it has seen a higher term. */
     :: fence[w] > me.term -> forget_all()
     :: fence[w] <= me.term -> renew(w)
     /* The worker is listed as ready, so its enrolment is written. */
     :: !me.is_member[w] -> me.is_member[w] = true; me.is_stale = true
     :: may_remove(w) && removals < REMOVALS -> remove(w)
     :: may_start(w) && runs < RUNS -> runs++; order_of(p, w) = me.term; me.known_run[w] = STARTING
     fi;
     w = 0 }
  od
}

/* Orders on their way, ends of runs, the leader's key, and commits that arrive late. */
inline deliver(p, w) {
  if
  :: fence[w] <= order_of(p, w) ->
     fence[w] = order_of(p, w);
     assert(!is_running[0] && !is_running[1]); /* one run at a time */
     assert(!is_finished);                     /* no run after an end as done that a leader can read */
     is_running[w] = true; run_term[w] = order_of(p, w);
     if :: leader[p].term == order_of(p, w) -> leader[p].known_run[w] = ACTIVE :: else fi
  :: else
  fi;
  order_of(p, w) = 0
}

proctype World() {
  do
  :: atomic { order_of(0, 0) != 0 -> deliver(0, 0) }
  :: atomic { order_of(0, 1) != 0 -> deliver(0, 1) }
  :: atomic { order_of(1, 0) != 0 -> deliver(1, 0) }
  :: atomic { order_of(1, 1) != 0 -> deliver(1, 1) }
  :: atomic { is_running[0] -> is_running[0] = false; run_term[0] = 0; has_done[0] = true; is_finished = true }
  :: atomic { is_running[1] -> is_running[1] = false; run_term[1] = 0; has_done[1] = true; is_finished = true }
  :: atomic { is_running[0] -> is_running[0] = false; run_term[0] = 0 }
  :: atomic { is_running[1] -> is_running[1] = false; run_term[1] = 0 }
  :: atomic { key != 0 -> key = 0 }
  :: atomic { late ->
     if
     :: is_applicable(late_term, late_tip) ->
        store_write(late_done, late_roster, late_member[0], late_member[1], late_term)
     :: else
     fi;
     late = false; late_done = false; late_roster = false; late_member[0] = false; late_member[1] = false;
     late_term = 0; late_tip = 0 }
  od
}

init {
  atomic { run Process(0); run Process(1); run World() }
}
