/* Configurations and a store that is restored from older copies (pkg/storeera). Versions 1, 2 and 3
   were written before; version 3 is in force on all VMs. After each restore the operator writes again
   what the copy lacks, in order. It may stop at version 2, and so return to it, and continue later.
   A VM that does not read for any time has lost the store or is slow; messages between VMs arrive at
   any time or never. The pause between two writes is below SettleTime, so that the time of a pending
   version is over only after the next version was written or the operator stopped.

   Checked: no VM returns to an older version unless the operator stopped there, and none leaves a
   version that it has read in an era for an older one of that era.

   Mutations that the checker must find:
   TRUST_TIMER  a VM puts a pending version in force without another read of the store
   TRUST_LATE   a VM follows a return although it has read a newer version in that era */

#define VMS 2
#define ERAS 3
#define NEWEST 3

byte era = 1;
byte newest = NEWEST;  /* version in the store */
bool stopped = false;  /* the operator writes no more for now */
bool returned = false; /* it has stopped at an older version at least once */

byte number[VMS];   /* version in force */
byte revert[VMS];   /* its RevertEra */
byte known[VMS];    /* era in which it was read or received */
bool own[VMS];      /* it was read by this VM */
byte readEra[VMS];  /* era of the last read */
byte lastRead[VMS]; /* version that it showed */
byte pending[VMS];
byte pendingEra[VMS];

byte sentNumber[VMS], sentRevert[VMS]; /* the VM's last message */

/* enforce puts version n with RevertEra r in force. */
inline enforce(me, n, r) {
	assert(n >= number[me] || returned);
	assert(n >= lastRead[me] || r > readEra[me] || !own[me]);
	number[me] = n; revert[me] = r; pending[me] = 0; pendingEra[me] = 0
}

inline read(me) {
	if
	:: newest > number[me] -> enforce(me, newest, revert[me]); known[me] = era; own[me] = true
	:: newest == number[me] -> pending[me] = 0; pendingEra[me] = 0; known[me] = era; own[me] = true
	:: newest < number[me] ->
		if
		:: known[me] != era && (readEra[me] == era && lastRead[me] != newest || pending[me] != 0 && newest >= pending[me]) ->
			pending[me] = newest; pendingEra[me] = era
		:: else
		fi
	fi;
	readEra[me] = era; lastRead[me] = newest
}

#define SETTLED(me) (pending[me] != 0 && (pendingEra[me] != era || newest > pending[me] || stopped))
#ifdef TRUST_TIMER
#define CONFIRMED(me) SETTLED(me)
#else
#define CONFIRMED(me) (SETTLED(me) && pendingEra[me] == era && newest == pending[me])
#endif

inline receive(me, from) {
	if
#ifndef TRUST_LATE
	:: sentRevert[from] > revert[me] && sentNumber[from] < number[me] && own[me] && known[me] >= sentRevert[from] ->
		revert[me] = sentRevert[from]
#endif
	:: else ->
		if
		:: sentRevert[from] > revert[me] || (sentRevert[from] == revert[me] && sentNumber[from] > number[me]) ->
			enforce(me, sentNumber[from], sentRevert[from]); known[me] = era; own[me] = false
		:: else
		fi
	fi
}

proctype vm(byte me) {
end:	do
	:: atomic { readEra[me] != era || lastRead[me] != newest -> read(me) }
	:: atomic { CONFIRMED(me) -> enforce(me, pending[me], pendingEra[me]); known[me] = era; own[me] = true }
	:: atomic { sentNumber[me] != number[me] || sentRevert[me] != revert[me] -> sentNumber[me] = number[me]; sentRevert[me] = revert[me] }
	:: atomic { receive(me, 1 - me) }
	od
}

proctype operator() {
end:	do
	:: atomic { era > 1 && newest < NEWEST -> newest++; stopped = (newest == NEWEST) }
	:: atomic { era > 1 && newest == NEWEST - 1 && !stopped -> stopped = true; returned = true }
	:: atomic { era < ERAS ->
		era++;
		if
		:: newest = 1
		:: newest > 2 -> newest = 2
		:: skip
		fi;
		stopped = (newest == NEWEST) }
	od
}

init {
	atomic {
		byte i;
		for (i : 0 .. VMS - 1) {
			number[i] = NEWEST; known[i] = 1; own[i] = true; readEra[i] = 1; lastRead[i] = NEWEST;
			sentNumber[i] = NEWEST
		}
		run operator(); run vm(0); run vm(1)
	}
}
