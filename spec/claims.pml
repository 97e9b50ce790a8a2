/* Claims on one idempotency key: at most one VM sends, although appends are
   lost, late or repeated, VMs pause and crash, the log forgets old records and
   a VM may start from a snapshot or from a peer that is behind.

   Mutations that the checker must find:
   SEND_UNREAD   the claim's holder sends once the append is confirmed, without reading it back
   LATE_VALID    a claim record below the horizon is valid */

#define VMS 2
#define MAXLEN 5
#define CLAIM 1
#define SNAP 2
#define MAXID 3

typedef Rec { byte kind; byte id; byte base; byte covers; byte owner; bool gone }
#include "log.pml"

/* State of each VM's replica. */
typedef Replica {
	byte pos;    /* last applied offset */
	byte owner;  /* identity of the valid claim, 0 for none */
	byte snap;   /* offset of the last valid snapshot */
	bool gone    /* the key is below the horizon */
}
Replica rep[VMS];

byte sent = 0;     /* how often the call was sent */
byte nextid = 1;
bool old = false;  /* the key is older than the window */

inline applyOne(me) {
	d_step {
		rep[me].pos++;
		if
		:: log[rep[me].pos].kind == CLAIM ->
			if
#ifdef LATE_VALID
			:: rep[me].owner == 0 -> rep[me].owner = log[rep[me].pos].id
#else
			:: rep[me].owner == 0 && !rep[me].gone -> rep[me].owner = log[rep[me].pos].id
#endif
			:: else
			fi
		:: log[rep[me].pos].kind == SNAP && log[rep[me].pos].base == rep[me].snap ->
			rep[me].snap = rep[me].pos;
			if
			:: log[rep[me].pos].gone -> rep[me].gone = true; rep[me].owner = 0
			:: else
			fi
		:: else
		fi
	}
}

/* load replaces the state by the snapshot record at offset s: its state holds
   the owner and horizon in force at the offset that it covers. base carries the
   snapshot that was valid then. */
inline load(me, s) {
	d_step {
		rep[me].pos = log[s].covers;
		rep[me].owner = log[s].owner;
		rep[me].snap = log[s].base;
		/* The snapshot's own horizon comes into force with its record. */
		rep[me].gone = (log[s].id == 1)
	}
}

/* catchUp reads on by one record, by a snapshot where the log forgot what follows. */
inline catchUp(me) {
	if
	:: rep[me].pos + 1 >= first ->
		do
		:: rep[me].pos + 1 == next -> break
		:: else -> applyOne(me)
		od
	:: rep[me].pos + 1 < first ->
		s = first;
		do
		:: s >= next -> break
		:: s < next && log[s].kind == SNAP && log[s].covers + 1 >= first && log[s].covers > rep[me].pos -> load(me, s); break
		:: else -> s++
		od
	:: else
	fi
}

proctype vm(byte me) {
	byte s; byte mine = 0; bool ack = false; bool tried = false;
	Rec r;
end:	do
	/* read */
	:: atomic { rep[me].pos + 1 < next -> catchUp(me); s = 0 }
	/* claim: only a free key within the window */
	:: atomic { mine == 0 && !old && !rep[me].gone && rep[me].owner == 0 && nextid < MAXID ->
		mine = nextid; nextid++; tried = true;
		r.kind = CLAIM; r.id = mine; r.base = 0; r.covers = 0; r.owner = 0; r.gone = false;
		append(r, me, ack) }
	/* repeat the same identity when the answer was lost */
	:: atomic { mine != 0 && tried && !ack && !FULL ->
		tried = false;
		r.kind = CLAIM; r.id = mine; r.base = 0; r.covers = 0; r.owner = 0; r.gone = false;
		append(r, me, ack) }
	/* send */
#ifdef SEND_UNREAD
	:: atomic { mine != 0 && ack ->
#else
	:: atomic { mine != 0 && rep[me].owner == mine ->
#endif
		sent++; assert(sent <= 1);
		mine = 0; ack = false; tried = false; break }
	/* give up */
	:: atomic { mine != 0 -> mine = 0; ack = false; tried = false }
	/* snapshot; the horizon passes the key only when the key is old */
	:: atomic { rep[me].pos > rep[me].snap && next < MAXLEN - 1 ->
		r.kind = SNAP; r.base = rep[me].snap; r.covers = rep[me].pos; r.owner = rep[me].owner; r.gone = old;
		r.id = (rep[me].gone -> 1 : 0);
		append(r, me, ack); ack = false }
	/* crash: another VM starts from the log's first record, or from a peer */
	:: atomic { mine = 0; ack = false; tried = false;
		if
		:: first == 1 -> rep[me].pos = 0; rep[me].owner = 0; rep[me].snap = 0; rep[me].gone = false
		:: rep[me].pos = rep[1 - me].pos; rep[me].owner = rep[1 - me].owner;
			rep[me].snap = rep[1 - me].snap; rep[me].gone = rep[1 - me].gone
		fi }
	od
}

/* clock ages the key; the log forgets records that a retained snapshot covers. */
proctype clock() {
	byte s;
end:	do
	:: !old -> old = true
	:: atomic { first < next ->
		s = first;
		do
		:: s >= next -> break
		:: s < next && log[s].kind == SNAP && log[s].covers >= first -> first = log[s].covers + 1; break
		:: else -> s++
		od;
		s = 0 }
	od
}

init { atomic { run network(); run clock(); run vm(0); run vm(1) } }
