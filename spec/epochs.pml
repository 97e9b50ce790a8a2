/* Leases: no two holders have one epoch, and an engine that enforces fencing
   runs no order of a former holder after one of the next.

   Mutation that the checker must find:
   TRUST_UNREAD  the holder trusts its lease once the append is confirmed, without reading it back */

#define VMS 2
#define MAXLEN 5
#define LEASE 1

typedef Rec { byte kind; byte id; byte base; byte covers; byte owner; bool gone }
#include "log.pml"

byte pos[VMS];
byte epoch[VMS];    /* epoch in force as the VM read it */
byte holder[VMS];   /* its holder, VM number + 1 */
byte granted[MAXLEN]; /* who gave orders under an epoch */
byte fence = 0;     /* highest epoch that the engine accepted */

inline order(me, e) {
	assert(granted[e] == 0 || granted[e] == me + 1);
	granted[e] = me + 1;
	if
	:: e >= fence -> fence = e
	:: else /* refused */
	fi
}

proctype vm(byte me) {
	bool ack; byte mine = 0;
	Rec r;
end:	do
	:: d_step { pos[me] + 1 < next ->
		do
		:: pos[me] + 1 == next -> break
		:: else ->
			pos[me]++;
			if
			:: log[pos[me]].base == epoch[me] -> epoch[me]++; holder[me] = log[pos[me]].owner
			:: else
			fi
		od }
	:: atomic { !FULL ->
		r.kind = LEASE; r.base = epoch[me]; r.owner = me + 1; mine = epoch[me] + 1;
		append(r, me, ack);
#ifdef TRUST_UNREAD
		if
		:: ack -> order(me, mine)
		:: else
		fi
#endif
		mine = 0; ack = false }
	/* A holder that pauses here and reads nothing more gives its order late. */
	:: atomic { epoch[me] > 0 && holder[me] == me + 1 -> order(me, epoch[me]) }
	:: atomic { pos[me] > 0 -> pos[me] = 0; epoch[me] = 0; holder[me] = 0 } /* crash */
	od
}

init { atomic { run network(); run vm(0); run vm(1) } }
