/* Settings changes: an operator is told "valid" or "void" only after reading
   back, a valid change builds on the branch's version, and a change that was
   told void never becomes valid. A change may also fail a check that depends on
   another branch, which flips at any time.

   Mutations that the checker must find:
   NO_BASE      a change is valid whatever version it builds on
   NO_IDENTITY  a repeated record is judged anew */

#define VMS 2
#define MAXLEN 6
#define CHANGE 1
#define FLIP 2
#define MAXID 3

typedef Rec { byte kind; byte id; byte base; byte covers; byte owner; bool gone }
#include "log.pml"

byte pos[VMS];
byte version[VMS];
bool closed[VMS];       /* the other branch makes every change fail its check */
bool seen1[VMS], seen2[VMS];

byte nextid = 1;
bool toldVoid[MAXID];
byte builtOn[MAXID];

#define SEEN(m, i) ((i == 1 && seen1[m]) || (i == 2 && seen2[m]))

inline mark(m, i) {
	if
	:: i == 1 -> seen1[m] = true
	:: i == 2 -> seen2[m] = true
	fi
}

proctype vm(byte me) {
	bool ack; byte mine = 0; bool repeated = false; byte id; bool ok;
	Rec r;
end:	do
	:: d_step { pos[me] + 1 < next ->
		do
		:: pos[me] + 1 == next -> break
		:: else ->
			pos[me]++;
			id = log[pos[me]].id;
			if
			:: log[pos[me]].kind == FLIP -> closed[me] = !closed[me]
			:: log[pos[me]].kind == CHANGE ->
				ok = !closed[me];
#ifndef NO_BASE
				ok = ok && log[pos[me]].base == version[me];
#endif
#ifndef NO_IDENTITY
				ok = ok && !SEEN(me, id);
				mark(me, id);
#endif
				if
				:: ok ->
					assert(!toldVoid[id]);
					assert(builtOn[id] == version[me]);
					version[me] = pos[me]
				:: else
				fi;
				if
				:: id == mine && mine != 0 -> toldVoid[id] = toldVoid[id] || !ok; mine = 0; repeated = false
				:: else
				fi
			:: else
			fi
		od;
		id = 0; ok = false }
	:: atomic { mine == 0 && nextid < MAXID ->
		mine = nextid; nextid++; builtOn[mine] = version[me];
		r.kind = CHANGE; r.id = mine; r.base = version[me];
		append(r, me, ack) }
	:: atomic { mine != 0 && !ack && !repeated && !FULL ->
		repeated = true;
		r.kind = CHANGE; r.id = mine; r.base = builtOn[mine];
		append(r, me, ack) }
	:: atomic { me == 0 && !FULL -> log[next].kind = FLIP; next++ }
	:: atomic { mine != 0 -> mine = 0; repeated = false } /* the operator gives up: told "unknown" */
	od
}

init { atomic { run network(); run vm(0); run vm(1) } }
