/*
 * Ownership of one cell: log, takeover, worker leases and batch tasks.
 *
 * Every option of a process is one atomic step, and a process may wait between any two of them for any time. Bounds and
 * mutations are macros; docs/model.md explains both.
 */

#ifndef WORKERS
#define WORKERS 2
#endif
#ifndef TASKS
#define TASKS 1
#endif
#ifndef SLOTS
#define SLOTS 4    /* slots of the ring buffer that stores the log */
#endif
#ifndef LOG
#define LOG 5      /* number of log positions */
#endif
#ifndef CRASHES
#define CRASHES 1  /* restarts of entry processes with an empty memory */
#endif
#ifndef RESTARTS
#define RESTARTS 1 /* restarts of workers */
#endif
#ifndef LOSSES
#define LOSSES 1   /* replies of the store and of workers that are lost */
#endif
#ifndef DELAYS
#define DELAYS 1   /* calls to workers that arrive late */
#endif
#define ROOM 1     /* capacity of a worker in tasks */
#define NONE 255

/* Kind of a log record. */
#define TAKEOVER 1
#define ASSIGN 2
#define DONE 3
#define RELEASE 4

/* State of a task according to the log. */
#define QUEUED 0
#define ASSIGNED 1
#define FINISHED 2

/* State of a task that the owner keeps in memory, in addition to the log. */
#define IDLE 0
#define PROPOSED 1
#define STARTING 2
#define RUNNING 3
#define STOPPING 4
#define GONE 5     /* certainly not running on the worker that the log names */
#define REPORTED 6 /* the record of its end is in flight */

/* Role of a process for the cell. */
#define RESTING 0
#define READING 1
#define TAKING 2
#define OWNER 3

/* Reply of a worker to a call. */
#define GRANTED 1
#define INQUIRY 2
#define STALE 3
#define HELD 4
#define REPEATED 5

typedef Record { byte kind; byte task; byte attempt; byte worker; byte instance; byte checkpoint };
typedef Slot { byte next; byte writer; Record record };
typedef Line { byte standing; byte attempt; byte worker; byte instance; byte checkpoint };
typedef View { byte next; byte epoch; Line line[TASKS] };
typedef Side { byte instance; bool is_held; bool is_full };
typedef Member {
  byte id;
  byte role;
  View view;
  byte stored;      /* next position of the last snapshot known to be stored */
  Record flight;    /* append whose outcome is not known */
  byte stage[TASKS];
  Side side[WORKERS]
};
typedef Ended { byte attempt; byte outcome; byte checkpoint };
typedef Worker {
  byte instance;
  byte epoch;
  byte holder;
  bool lease;
  byte running[TASKS];    /* attempt; 0 if the task is not running */
  byte base[TASKS];       /* checkpoint from which the attempt started */
  byte known[TASKS];
  Ended ended[TASKS]
};
/* A call that is delayed by the network; its sender treats it as lost. */
typedef Late { bool is_start; byte holder; byte worker; byte instance; byte epoch; bool is_overtaken; bool is_past;
  byte task; byte attempt; byte checkpoint };

Slot slot[SLOTS];
View snapshot;
Member member[2];
Worker worker[WORKERS];
Late late;
byte crashes, restarts, losses, delays;

/* Variables for the assertions; the protocol never reads them. */
byte written[LOG];          /* writer of each position */
byte assigned[TASKS];       /* attempt that the committed log assigns */
bool finished[TASKS];       /* the assigned attempt finished, and its result is on the worker or in the committed log */
bool stored[TASKS];         /* its `Done` is in the committed log */
byte last[TASKS];           /* checkpoint that the next attempt must start from */

#define me member[p]
#define at(w) worker[w]
#define task_line(t) member[p].view.line[t]
#define any_stage(s) (me.stage[0] == s || me.stage[TASKS - 1] == s)
#define is_here(t, w) (task_line(t).standing == ASSIGNED && task_line(t).worker == w)
#define place_of(position) slot[(position) % SLOTS]

inline clear_record(gone) {
  gone.kind = 0; gone.task = 0; gone.attempt = 0; gone.worker = 0; gone.instance = 0; gone.checkpoint = 0
}

inline copy_record(to, from) {
  to.kind = from.kind; to.task = from.task; to.attempt = from.attempt;
  to.worker = from.worker; to.instance = from.instance; to.checkpoint = from.checkpoint
}

inline copy_line(to, from) {
  to.standing = from.standing; to.attempt = from.attempt; to.worker = from.worker;
  to.instance = from.instance; to.checkpoint = from.checkpoint
}

inline copy_view(to, from) {
  d_step {
  to.next = from.next; to.epoch = from.epoch;
  for (i : 0 .. TASKS - 1) { copy_line(to.line[i], from.line[i]) }
  i = 0
  }
}

inline clear_line(gone) {
  gone.standing = 0; gone.attempt = 0; gone.worker = 0; gone.instance = 0; gone.checkpoint = 0
}

/* Resets the process to a non-owner of the cell. The worker instances that it knows stay. */
inline depose() {
  d_step {
  me.role = RESTING; me.view.next = 0; me.view.epoch = 0; me.stored = 0;
  clear_record(me.flight);
  for (i : 0 .. TASKS - 1) { clear_line(task_line(i)); me.stage[i] = IDLE }
  for (i : 0 .. WORKERS - 1) { me.side[i].is_held = false; me.side[i].is_full = false }
  i = 0
  }
}

/* Applies a committed record. */
inline apply(fact) {
  if
  :: fact.kind == TAKEOVER -> me.view.epoch++
  :: fact.kind == ASSIGN ->
     task_line(fact.task).standing = ASSIGNED; task_line(fact.task).attempt = fact.attempt;
     task_line(fact.task).worker = fact.worker; task_line(fact.task).instance = fact.instance;
     task_line(fact.task).checkpoint = fact.checkpoint; me.stage[fact.task] = STARTING
  :: fact.kind == DONE -> clear_line(task_line(fact.task)); task_line(fact.task).standing = FINISHED; me.stage[fact.task] = IDLE
  :: fact.kind == RELEASE ->
     task_line(fact.task).standing = QUEUED; task_line(fact.task).checkpoint = fact.checkpoint;
     task_line(fact.task).worker = 0; task_line(fact.task).instance = 0; me.stage[fact.task] = IDLE
  fi;
  me.view.next++
}

/* Commits the append in flight in the process's view, after the store has confirmed it. */
inline commit() {
  assert(written[me.view.next] == me.id); /* what a process treats as committed is in the log */
  apply(me.flight);
  if :: me.flight.kind == TAKEOVER -> me.role = OWNER :: else fi;
  clear_record(me.flight)
}

/* The store replaces the value of a slot. */
inline store_write() {
  d_step {
  assert(written[me.view.next] == 0); /* no position is written twice */
  written[me.view.next] = me.id;
  place_of(me.view.next).next = me.view.next + 1;
  place_of(me.view.next).writer = me.id;
  copy_record(place_of(me.view.next).record, me.flight);
  if
  :: me.flight.kind == DONE -> stored[me.flight.task] = true
  :: me.flight.kind == RELEASE ->
     /* A lost task resumes from the checkpoint of its attempt's start, others from the one that the worker reported. */
     if :: me.flight.instance == 1 -> last[me.flight.task] = me.flight.checkpoint :: else fi;
     assigned[me.flight.task] = 0; finished[me.flight.task] = false
  :: me.flight.kind == ASSIGN -> assigned[me.flight.task] = me.flight.attempt
  :: else
  fi
  }
}

/* Whether the slot has the revision that the writer expects: that of the previous lap of the ring. */
#if defined(NO_SLOT_CAS)
#define may_write (true)
#elif defined(DELETED_SLOTS)
/* Each position has its own key; the key of a position in a snapshot is deleted and can be created again. */
#define may_write (place_of(me.view.next).next != me.view.next + 1)
#else
#define may_write (place_of(me.view.next).next == (me.view.next >= SLOTS -> me.view.next + 1 - SLOTS : 0))
#endif

inline append() {
  if
  :: may_write -> store_write();
     if
     :: commit()
     :: losses < LOSSES -> losses++ /* the reply is lost, and the same write is sent again */
     fi
  :: else -> read_slot()
  fi
}

/* Reads the slot after a conflict. */
inline read_slot() {
  if
#ifdef NO_WRITE_ID
  :: place_of(me.view.next).next == me.view.next + 1 -> commit()
#else
  :: place_of(me.view.next).next == me.view.next + 1 && place_of(me.view.next).writer == me.id -> commit()
#endif
  :: else -> depose()
  fi
}

inline propose(sort, which, turn, where, number, saved) {
  me.flight.kind = sort; me.flight.task = which; me.flight.attempt = turn;
  me.flight.worker = where; me.flight.instance = number; me.flight.checkpoint = saved
}

/* The worker checks a call and sets `verdict`. */
inline judge(vm, who, term, number, overtaken, past) {
  if
  :: number != at(vm).instance -> verdict = INQUIRY
#ifndef NO_EPOCH_CHECK
  :: number == at(vm).instance && term < at(vm).epoch -> verdict = STALE
#endif
  :: else ->
     if
     :: term == at(vm).epoch && at(vm).lease && at(vm).holder != who -> verdict = HELD
#ifndef NO_SEQUENCE_CHECK
     :: term == at(vm).epoch && !(at(vm).lease && at(vm).holder != who) && overtaken -> verdict = REPEATED
#endif
     :: else ->
        if
        :: past -> verdict = INQUIRY
        :: else ->
           verdict = GRANTED; at(vm).epoch = term; at(vm).holder = who; at(vm).lease = true;
           if :: late.holder == who && late.worker == vm -> late.is_overtaken = true :: else fi
        fi
     fi
  fi
}

inline execute_start(vm, job, turn, saved) {
  d_step {
  if
  :: turn <= at(vm).known[job] ->
     if
     :: at(vm).running[job] == turn || (at(vm).ended[job].outcome != 0 && at(vm).ended[job].attempt == turn)
     :: else -> at(vm).ended[job].attempt = turn; at(vm).ended[job].outcome = RELEASE; at(vm).ended[job].checkpoint = saved
     fi
  :: else ->
     for (i : 0 .. WORKERS - 1) { assert(worker[i].running[job] == 0) } /* one copy at a time */
     i = 0;
     assert(!finished[job]);          /* a finished task never starts again */
     assert(saved == last[job]);          /* it resumes from its last checkpoint */
     for (i : 0 .. TASKS - 1) { if :: at(vm).running[i] != 0 -> used++ :: else fi }
     i = 0;
     assert(used < ROOM);           /* no worker is overcommitted */
     used = 0;
     at(vm).known[job] = turn; at(vm).running[job] = turn; at(vm).base[job] = saved;
     at(vm).ended[job].attempt = 0; at(vm).ended[job].outcome = 0; at(vm).ended[job].checkpoint = 0
  fi
  }
}

/* A task stops on the worker, with a checkpoint of its progress. */
inline stop_at(vm, job) {
  at(vm).ended[job].attempt = at(vm).running[job]; at(vm).ended[job].outcome = RELEASE;
  at(vm).ended[job].checkpoint = (at(vm).base[job] < 2 -> at(vm).base[job] + 1 : 2);
  last[job] = at(vm).ended[job].checkpoint;
  at(vm).running[job] = 0; at(vm).base[job] = 0
}

inline stop_all(vm) {
  d_step {
  for (i : 0 .. TASKS - 1) { if :: at(vm).running[i] != 0 -> stop_at(vm, i) :: else fi }
  i = 0
  }
}

/* The process learns that a worker has a new instance: tasks of earlier instances are gone. */
inline learn_instance(vm) {
  d_step {
  me.side[vm].instance = at(vm).instance; me.side[vm].is_held = false; me.side[vm].is_full = false;
  for (i : 0 .. TASKS - 1) {
    if
#ifdef NO_INSTANCE_CHECK
    :: me.role == OWNER && is_here(i, vm) && me.stage[i] != REPORTED -> me.stage[i] = GONE
#else
    :: me.role == OWNER && is_here(i, vm) && me.stage[i] != REPORTED && task_line(i).instance < at(vm).instance ->
       me.stage[i] = GONE
#endif
    :: else
    fi
  }
  i = 0
  }
}

inline acknowledge(vm, job) {
  /* A result is discarded only after the committed log contains it or releases its attempt. */
  assert(at(vm).ended[job].outcome != DONE || stored[job] || at(vm).ended[job].attempt != assigned[job]);
  at(vm).ended[job].attempt = 0; at(vm).ended[job].outcome = 0; at(vm).ended[job].checkpoint = 0
}

/* Reconciles the state of a task in the log with the worker's report. */
inline reconcile(vm, job) {
  if
  :: at(vm).running[job] != 0 && is_here(job, vm) && at(vm).running[job] == task_line(job).attempt ->
     if :: me.stage[job] == STARTING -> me.stage[job] = RUNNING :: else fi
  :: at(vm).running[job] == 0 && at(vm).ended[job].outcome != 0 ->
     if
     :: is_here(job, vm) && at(vm).ended[job].attempt == task_line(job).attempt ->
        if
        :: me.flight.kind == 0 && me.stage[job] != REPORTED && me.view.next < LOG ->
           me.flight.kind = at(vm).ended[job].outcome; me.flight.task = job;
           me.flight.attempt = at(vm).ended[job].attempt; me.flight.worker = vm;
           me.flight.checkpoint = at(vm).ended[job].checkpoint;
#ifdef NO_CHECKPOINT
           me.flight.checkpoint = 0;
#endif
           me.stage[job] = REPORTED;
#ifdef EARLY_ACKNOWLEDGE
           acknowledge(vm, job)
#endif
        :: else /* the worker reports it again later */
        fi
     :: else -> acknowledge(vm, job)
     fi
  :: at(vm).running[job] == 0 && at(vm).ended[job].outcome == 0 && is_here(job, vm) && me.stage[job] != REPORTED ->
     if
     :: me.stage[job] == STARTING && task_line(job).instance == at(vm).instance /* the start is sent again */
     :: else -> me.stage[job] = GONE
     fi
  :: else
  fi
}

inline take_reply(vm) {
  if
  :: verdict == GRANTED ->
     me.side[vm].is_held = true; me.side[vm].is_full = true;
     for (k : 0 .. TASKS - 1) { reconcile(vm, k) }
     k = 0
  :: verdict == INQUIRY -> learn_instance(vm)
  :: verdict == STALE -> depose()
  :: else -> me.side[vm].is_held = false
  fi
}

/* The lease expires on the worker. Because of its safety margin, the holder's estimate of the expiry is earlier. */
inline lapse(vm) {
  at(vm).lease = false; at(vm).holder = 0;
  stop_all(vm)
}

#ifdef FREE_AT_STOP
#define holds(t) (is_here(t, w) && me.stage[t] != STOPPING)
#else
#define holds(t) (is_here(t, w))
#endif

inline count_used() {
  d_step {
  used = 0;
  for (i : 0 .. TASKS - 1) { if :: holds(i) -> used++ :: else fi }
  i = 0
  }
}

/* Sends a start order, which arrives immediately, late, or not at all. */
inline send_start(vm, job, turn, number, saved) {
  if
  :: judge(vm, me.id, me.view.epoch, number, false, false);
     if :: verdict == GRANTED -> execute_start(vm, job, turn, saved) :: else fi;
     if :: verdict == STALE -> depose() :: else fi;
     verdict = 0
  :: delays < DELAYS && late.holder == 0 -> delays++;
     late.holder = me.id; late.worker = vm; late.instance = number; late.epoch = me.view.epoch;
     late.is_start = true; late.task = job; late.attempt = turn; late.checkpoint = saved
  fi
}

inline clear_late() {
  late.is_start = false; late.holder = 0; late.worker = 0; late.instance = 0; late.epoch = 0;
  late.is_overtaken = false; late.is_past = false; late.task = 0; late.attempt = 0; late.checkpoint = 0
}

/* Waits until the lease of an unreachable worker, and every extension that this owner requested, certainly expired. */
inline wait_out(vm) {
#ifndef NO_LAPSE_WAIT
  if
  :: at(vm).lease && at(vm).holder == me.id && at(vm).epoch == me.view.epoch ->
#ifndef ZERO_MARGIN
     lapse(vm)
#else
     skip /* without the margin, the owner's wait ends before the lease expires on the worker */
#endif
  :: else /* it expired, or the worker restarted, or a newer owner holds it and the log rejects appends of this owner */
  fi;
  if :: late.holder == me.id && late.worker == vm -> late.is_past = true :: else fi;
#endif
  for (k : 0 .. TASKS - 1) { if :: is_here(k, vm) && me.stage[k] != REPORTED -> me.stage[k] = GONE :: else fi }
  k = 0; me.side[vm].is_full = false
}

proctype Entry(byte p) {
  byte i, k, w, t, used, verdict;
  do
  :: atomic { me.role == RESTING -> /* starts a takeover: reads the snapshot */
       copy_view(me.view, snapshot); me.stored = snapshot.next;
       for (i : 0 .. TASKS - 1) { if :: task_line(i).standing == ASSIGNED -> me.stage[i] = STARTING :: else fi }
       i = 0; me.role = READING }
  :: atomic { me.role == READING -> /* reads the slot of the next position */
       if
       :: place_of(me.view.next).next == me.view.next + 1 ->
#ifdef TAKEOVER_BY_MEMBER
          if
          :: place_of(me.view.next).record.kind == TAKEOVER && place_of(me.view.next).writer == me.id -> me.role = OWNER
          :: else
          fi;
#endif
          k = (me.view.next) % SLOTS;
          apply(slot[k].record); k = 0
       :: place_of(me.view.next).next > me.view.next + 1 -> depose()
       :: place_of(me.view.next).next < me.view.next + 1 && me.view.next < LOG ->
          propose(TAKEOVER, 0, 0, 0, 0, 0); me.role = TAKING
       :: place_of(me.view.next).next < me.view.next + 1 && me.view.next >= LOG -> depose()
       fi }
  :: atomic { (me.role == TAKING || me.role == OWNER) && me.flight.kind != 0 && me.view.next < me.stored + SLOTS ->
       append() }
#if SLOTS < LOG
  :: atomic { me.role == OWNER && me.flight.kind == 0 && me.view.next > snapshot.next ->
       copy_view(snapshot, me.view); me.stored = me.view.next }
#endif
  :: atomic { me.role == TAKING && me.view.next >= me.stored + SLOTS -> depose() }

  /* Worker leases. */
  :: atomic { me.role == OWNER ->
       if :: w = 0 :: WORKERS > 1 -> w = WORKERS - 1 fi;
       judge(w, me.id, me.view.epoch, me.side[w].instance, false, false);
       if
       :: take_reply(w)
       :: losses < LOSSES -> losses++
       fi;
       w = 0; verdict = 0 }
  :: atomic { me.role == OWNER && (me.side[0].is_held || me.side[WORKERS - 1].is_held) -> /* a lease expires by the holder's estimate */
       if :: me.side[0].is_held -> me.side[0].is_held = false :: me.side[WORKERS - 1].is_held -> me.side[WORKERS - 1].is_held = false fi }
#define may_wait_out(w) (me.side[w].is_full && !me.side[w].is_held)
  :: atomic { me.role == OWNER && (may_wait_out(0) || may_wait_out(WORKERS - 1)) -> /* rule (c): waits for the expiry */
       if
       :: may_wait_out(0) -> w = 0
       :: WORKERS > 1 && may_wait_out(WORKERS - 1) -> w = WORKERS - 1
       fi;
       wait_out(w); w = 0 }
  :: atomic { me.side[0].instance < worker[0].instance -> learn_instance(0) } /* reads the VM list */

  /* Tasks. */
  :: atomic { me.role == OWNER && me.flight.kind == 0 && me.view.next < LOG ->
       if :: t = 0 :: TASKS > 1 -> t = TASKS - 1 fi;
       if :: w = 0 :: WORKERS > 1 -> w = WORKERS - 1 fi;
       count_used();
       if
       :: task_line(t).standing == QUEUED && me.side[w].is_held && used < ROOM ->
          propose(ASSIGN, t, task_line(t).attempt + 1, w, me.side[w].instance, task_line(t).checkpoint);
          me.stage[t] = PROPOSED;
       :: else
       fi;
       w = 0; t = 0; used = 0 }
#ifdef EARLY_START
  :: atomic { me.role == OWNER && me.flight.kind == ASSIGN && me.side[me.flight.worker].is_held ->
       w = me.flight.worker; t = me.flight.task;
       send_start(w, t, me.flight.attempt, me.flight.instance, me.flight.checkpoint);
       w = 0; t = 0 }
#endif
  :: atomic { me.role == OWNER && any_stage(STARTING) ->
       if :: me.stage[0] == STARTING -> t = 0 :: me.stage[TASKS - 1] == STARTING -> t = TASKS - 1 fi;
       w = task_line(t).worker;
       if
       :: me.side[w].is_held && task_line(t).instance == me.side[w].instance ->
          send_start(w, t, task_line(t).attempt, task_line(t).instance, task_line(t).checkpoint)
       :: else
       fi;
       w = 0; t = 0 }
  :: atomic { me.role == OWNER && (me.stage[0] == STARTING || any_stage(RUNNING)) -> /* eviction */
       if
       :: me.stage[0] == STARTING || me.stage[0] == RUNNING -> me.stage[0] = STOPPING
       :: me.stage[TASKS - 1] == RUNNING -> me.stage[TASKS - 1] = STOPPING
       fi }
  :: atomic { me.role == OWNER && any_stage(STOPPING) ->
       if :: me.stage[0] == STOPPING -> t = 0 :: me.stage[TASKS - 1] == STOPPING -> t = TASKS - 1 fi;
       w = task_line(t).worker;
       if
       :: me.side[w].is_held ->
          judge(w, me.id, me.view.epoch, me.side[w].instance, false, false);
          if
          :: verdict == GRANTED && at(w).running[t] == task_line(t).attempt -> stop_at(w, t)
          :: else
          fi
       :: else
       fi;
       w = 0; t = 0; verdict = 0 }
  :: atomic { me.role == OWNER && me.flight.kind == 0 && me.view.next < LOG && any_stage(GONE) ->
       if :: me.stage[0] == GONE -> t = 0 :: me.stage[TASKS - 1] == GONE -> t = TASKS - 1 fi;
       propose(RELEASE, t, task_line(t).attempt, task_line(t).worker, 1 /* lost */, task_line(t).checkpoint);
       me.stage[t] = REPORTED; t = 0 }

  /* The process crashes and is replaced by one with an empty memory. */
  :: atomic { crashes < CRASHES && me.role != RESTING -> crashes++; depose();
       me.id = me.id + 2;
       for (i : 0 .. WORKERS - 1) { me.side[i].instance = 1 } /* the VM list lags */
       i = 0 }
  od
}

/* Workers and the network. */
proctype Platform() {
  byte i, w, t, used, verdict;
  do
#define holder_acts(p, w) (member[p].id == at(w).holder && member[p].side[w].is_held)
#define may_lapse(w) (at(w).lease && !holder_acts(0, w) && !holder_acts(1, w))
  :: atomic { may_lapse(0) || may_lapse(WORKERS - 1) -> /* only after the lease expired by the holder's estimate */
       if :: may_lapse(0) -> w = 0 :: WORKERS > 1 && may_lapse(WORKERS - 1) -> w = WORKERS - 1 fi;
       lapse(w); w = 0 }
#define is_busy(w) (worker[w].running[0] != 0 || worker[w].running[TASKS - 1] != 0)
  :: atomic { is_busy(0) || is_busy(WORKERS - 1) -> /* a task finishes */
       if
       :: worker[0].running[0] != 0 -> w = 0; t = 0
       :: worker[WORKERS - 1].running[TASKS - 1] != 0 -> w = WORKERS - 1; t = TASKS - 1
       :: worker[0].running[TASKS - 1] != 0 -> w = 0; t = TASKS - 1
       :: worker[WORKERS - 1].running[0] != 0 -> w = WORKERS - 1; t = 0
       fi;
       at(w).ended[t].attempt = at(w).running[t]; at(w).ended[t].outcome = DONE; at(w).ended[t].checkpoint = 0;
       at(w).running[t] = 0; at(w).base[t] = 0; finished[t] = true;
       w = 0; t = 0 }
  :: atomic { restarts < RESTARTS -> restarts++; /* a worker restarts and loses the results that are not stored */
       at(0).instance++; at(0).epoch = 0; at(0).holder = 0; at(0).lease = false;
       for (i : 0 .. TASKS - 1) {
         if
         :: at(0).ended[i].outcome == DONE && !stored[i] -> finished[i] = false
         :: else
         fi;
         at(0).running[i] = 0; at(0).base[i] = 0; at(0).known[i] = 0;
         at(0).ended[i].attempt = 0; at(0).ended[i].outcome = 0; at(0).ended[i].checkpoint = 0
       }
       i = 0 }
  :: atomic { late.holder != 0 -> /* a delayed call arrives */
       w = late.worker;
       judge(w, late.holder, late.epoch, late.instance, late.is_overtaken, late.is_past);
       if :: verdict == GRANTED && late.is_start -> execute_start(w, late.task, late.attempt, late.checkpoint) :: else fi;
       w = 0; verdict = 0; clear_late() }
  od
}

init {
  byte i;
  atomic {
    member[0].id = 1; member[1].id = 2;
    for (i : 0 .. WORKERS - 1) {
      worker[i].instance = 1; member[0].side[i].instance = 1; member[1].side[i].instance = 1
    }
    i = 0;
    /* Initially, member 0 is the owner. */
    written[0] = 1; slot[0].next = 1; slot[0].writer = 1; slot[0].record.kind = TAKEOVER;
    member[0].role = OWNER; member[0].view.next = 1; member[0].view.epoch = 1;
    run Entry(0); run Entry(1); run Platform()
  }
}
