/* The platform's log: offsets, lost answers, late and repeated appends. Offsets
   start at 1; log[0] is unused. The including file defines MAXLEN and Rec. */

Rec log[MAXLEN];
byte next = 1;    /* offset of the next record */
byte first = 1;  /* oldest retained offset */
Rec late[VMS];   /* an append in transit for each VM, whose answer was lost */

#define FULL (next >= MAXLEN)

inline copy(to, from) {
	to.kind = from.kind; to.id = from.id; to.base = from.base; to.covers = from.covers; to.owner = from.owner; to.gone = from.gone
}

/* clear keeps records that are no longer used from multiplying the states. */
inline clear(r) {
	r.kind = 0; r.id = 0; r.base = 0; r.covers = 0; r.owner = 0; r.gone = false
}

inline put(r) {
	if
	:: !FULL -> copy(log[next], r); next++
	:: else
	fi
}

/* append tries to append r for VM me. ack is true when the answer arrived. */
inline append(r, me, ack) {
	atomic {
		if
		:: true -> put(r); ack = true
		:: true -> put(r); ack = false                            /* took effect, answer lost */
		:: ack = false                                    /* no effect */
		:: late[me].kind == 0 -> copy(late[me], r); ack = false   /* takes effect later */
		:: late[me].kind == 0 -> put(r); copy(late[me], r); ack = true /* takes effect twice */
		fi;
		clear(r)
	}
}

/* network delivers late appends. One that is never delivered is lost. */
proctype network() {
end:	do
	:: atomic { late[0].kind != 0 -> put(late[0]); clear(late[0]) }
	:: atomic { late[1].kind != 0 -> put(late[1]); clear(late[1]) }
	od
}
