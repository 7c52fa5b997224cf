/*
 * Acceptance and propagation of the configuration: the index in the store, two operators who apply documents, and two
 * processes that poll the index and relay versions to each other.
 *
 * The write id of a version of the index stands for its text. Every option is one atomic step.
 */

#ifndef VERSIONS
#define VERSIONS 5 /* number of index versions */
#endif
#ifndef LOSSES
#define LOSSES 2   /* replies of the store that are lost */
#endif
#ifndef RESTARTS
#define RESTARTS 2 /* restarts of processes with an empty memory */
#endif
#ifndef APPLIES
#define APPLIES 2  /* apply requests of each operator */
#endif
#define OPERATORS 2

/* Step of an apply request. */
#define IDLE 0
#define READ 1
#define VALIDATE 2
#define WRITE 3

/* Answer to an operator. */
#define ACCEPTED 1
#define CONFLICT 2
#define NOT_ACCEPTED 3
#define UNKNOWN 4

/* Both operators apply the same document, so the model keeps no state for each document. */
typedef Index { byte version; byte writer };
typedef Job {
  byte step; byte write_id; byte base; bool has_base; bool is_proposed; bool is_in_doubt; byte version; byte writer;
  bool is_late /* a write of this request is still in flight */; byte late_expect
};

/* Versions are never reused, so the version also serves as the revision of the key. */
byte chain[VERSIONS + 1]; /* write id of each version: the store's content over time */
byte head;                /* version in the store */
Job job[OPERATORS];
byte applied[OPERATORS];
byte losses, restarts, write_ids;
byte force[2];            /* version in force in each process */
byte text[2];             /* its write id */
byte offer[2];            /* version that is being relayed to each process; `offer_text` is its write id */
byte offer_text[2];

#define mine job[o]

inline end_apply() {
  mine.step = IDLE; mine.write_id = 0; mine.base = 0; mine.has_base = false; mine.is_proposed = false;
  mine.is_in_doubt = false; mine.version = 0; mine.writer = 0; mine.is_late = false; mine.late_expect = 0
}

/* Sets `found` to whether the store ever accepted this write. */
inline look_for(id) {
  found = false;
  for (i : 1 .. VERSIONS) { if :: chain[i] == id -> found = true :: else fi }
  i = 0
}

inline answer(verdict) {
  look_for(mine.write_id);
  if
  :: verdict == ACCEPTED -> assert(found)                          /* an accepted document is never lost */
  :: verdict == CONFLICT || verdict == NOT_ACCEPTED ->
     assert(!found && !mine.is_late)                               /* with these answers, nothing was changed */
  :: else
  fi;
  found = false;
  end_apply()
}

/* The store replaces the index if it has the expected revision. */
#ifdef NO_INDEX_CAS
#define matches(expect) (true)
#else
#define matches(expect) (head == expect)
#endif

inline replace(expect, id) {
  assert(chain[expect + 1] == 0 || chain[expect + 1] == id); /* a version has only one text */
  assert(expect + 1 > head);                                  /* the version in the store never decreases */
  head = expect + 1; chain[head] = id
}

inline install(version, id) {
  if
#ifdef STALE_INDEX
  :: version != force[q] ->
#else
  :: version > force[q] ->
#endif
     assert(version > force[q]);        /* the version in force never decreases */
     assert(chain[version] == id);      /* a configuration in force was accepted */
     force[q] = version; text[q] = id
  :: else
  fi
}

proctype Operator(byte o) {
  byte i, seen;
  bool found;
  do
  :: atomic { mine.step == IDLE && applied[o] < APPLIES ->
       applied[o]++; write_ids++; mine.write_id = write_ids; mine.step = READ;
       if
       :: mine.has_base = true; mine.base = head /* the operator states the version on which the change is based */
       :: skip
       fi }
  :: atomic { mine.step == READ ->
       /* The store may reply with a stale value. */
       if :: seen = head :: head > 0 -> seen = head - 1 fi;
       mine.version = seen; mine.writer = chain[seen];
#ifdef NO_WRITE_ID
       if
       :: mine.is_proposed && false -> skip
#else
       if
       :: mine.is_proposed && chain[seen] == mine.write_id -> seen = 0; answer(ACCEPTED)
#endif
       :: !(mine.is_proposed && chain[seen] == mine.write_id) && !mine.has_base ->
          mine.has_base = true; mine.base = seen; seen = 0; mine.step = VALIDATE
       :: !(mine.is_proposed && chain[seen] == mine.write_id) && mine.has_base && seen == mine.base ->
          seen = 0; mine.step = VALIDATE
#ifdef NO_WRITE_ID
       :: mine.has_base && seen != mine.base -> seen = 0; answer(CONFLICT)
#elif defined(NO_DOUBT)
       :: !(mine.is_proposed && chain[seen] == mine.write_id) && mine.has_base && seen != mine.base ->
          seen = 0; answer(CONFLICT)
#else
       :: !(mine.is_proposed && chain[seen] == mine.write_id) && mine.has_base && seen != mine.base ->
          seen = 0;
          if :: mine.is_in_doubt -> answer(UNKNOWN) :: else -> answer(CONFLICT) fi
#endif
       fi }
  :: atomic { mine.step == VALIDATE && mine.version < VERSIONS -> mine.is_proposed = true; mine.step = WRITE }
  :: atomic { mine.step == VALIDATE -> /* the document conflicts with the other ones, or a reply is invalid */
#ifdef REFUSED_IN_DOUBT
       answer(NOT_ACCEPTED)
#else
       if :: mine.is_in_doubt -> answer(UNKNOWN) :: else -> answer(NOT_ACCEPTED) fi
#endif
     }
  :: atomic { mine.step == WRITE ->
       if
       :: matches(mine.version) -> replace(mine.version, mine.write_id);
          if
          :: answer(ACCEPTED)
          :: losses < LOSSES -> losses++; mine.is_in_doubt = true
          fi
       :: !matches(mine.version) -> mine.step = READ
       :: losses < LOSSES && !mine.is_late -> /* the write is still in flight when the request for it times out */
          losses++; mine.is_in_doubt = true; mine.is_late = true; mine.late_expect = mine.version
       fi }
  :: atomic { mine.is_late -> /* the delayed write arrives or is lost */
       if
       :: matches(mine.late_expect) -> replace(mine.late_expect, mine.write_id)
       :: true
       fi;
       mine.is_late = false; mine.late_expect = 0 }
  :: atomic { mine.step != IDLE -> /* the apply request times out */
#ifdef NO_DOUBT
       answer(NOT_ACCEPTED)
#else
       if :: mine.is_in_doubt -> mine.is_late = false; answer(UNKNOWN) :: else -> answer(NOT_ACCEPTED) fi
#endif
     }
  od
}

proctype Process(byte q) {
  byte read;
  do
  :: atomic { head > 0 -> /* polls the store, which may reply with any earlier value */
       read = head;
       do :: read > 1 -> read-- :: break od;
       install(read, chain[read]); read = 0 }
  :: atomic { force[q] > 0 && offer[1 - q] == 0 -> offer[1 - q] = force[q]; offer_text[1 - q] = text[q] }
  :: atomic { offer[q] > 0 -> install(offer[q], offer_text[q]); offer[q] = 0; offer_text[q] = 0 }
  :: atomic { offer[q] > 0 -> offer[q] = 0; offer_text[q] = 0 }
  :: atomic { restarts < RESTARTS && force[q] > 0 -> restarts++; force[q] = 0; text[q] = 0 }
  od
}

/* Two processes with the same version in force have the same text of it. */
active proctype Agreement() {
  do
  :: atomic { force[0] == force[1] && text[0] != text[1] -> assert(false) }
  od
}

init { atomic { run Operator(0); run Operator(1); run Process(0); run Process(1) } }
