/*
 * Failover's promises on a small group: three servers, two homes, a few terms
 * and log entries, every order of steps, every message late or lost. Checked:
 * a term has one primary, and an acknowledged entry is in the log of every
 * later one. Each rule of packages/core/src/failover_ballot.c, of the servers
 * (docs/design/0002) and of the acknowledgement can be left out with -DNO_...;
 * models/check.sh runs them all.
 */
#define SERVERS 3
#define HOMES 2
#define NOBODY 9
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LEN
#define MAX_LEN 4
#endif

/* The rules that can be left out. */
#ifdef NO_FENCE
#define FENCE(rule) true
#else
#define FENCE(rule) (rule)
#endif
#ifdef NO_CUT
#define CUT false
#else
#define CUT true
#endif
#ifdef NO_ACK_BEFORE_GRANT
#define BEFORE_GRANT(rule) true
#else
#define BEFORE_GRANT(rule) (rule)
#endif
#ifdef NO_ACK_MAJORITY
#define ACK_MAJORITY 1
#else
#define ACK_MAJORITY 2
#endif
#ifdef NO_OWN_GRANT
#define OWN_GRANT(rule) true
#else
#define OWN_GRANT(rule) (rule)
#endif
#ifdef NO_NEW_TERM
#define NEW_TERM(rule) true
#else
#define NEW_TERM(rule) (rule)
#endif
#ifdef NO_MAJORITY
#define MAJORITY 1
#define REST_MAJORITY 1
#else
#define MAJORITY 2
#ifdef NO_REST_MAJORITY
#define REST_MAJORITY 1
#else
#define REST_MAJORITY 2
#endif
#endif
#ifdef NO_HIGHEST
#define HIGHEST false
#else
#define HIGHEST true
#endif

#define BIT(s) (1 << (s))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define LOG(s, i) log[(s) * MAX_LEN + (i)]
#define LAST(s) (size[s] == 0 -> 0 : LOG(s, size[s] - 1))
#define HAS(s) (size[s] >= tracked_size && LOG(s, tracked_size - 1) == tracked_term)
#define AT(h, s) ((h) * SERVERS + (s))

/* Servers. */
byte granted[SERVERS];
byte holder[SERVERS];
byte leads[SERVERS];	/* term as a primary, 0: replica */
byte follows[SERVERS];	/* term whose primary it pulls from */
byte size[SERVERS];
byte log[SERVERS * MAX_LEN];	/* the terms of its entries */

byte leader[MAX_TERM + 1];	/* server + 1 that was promoted in the term */

/* Promotions under way: targets by term, and who asks. */
byte asked[MAX_TERM + 1];
byte asker[MAX_TERM + 1];

/* Homes: the ballot, and each granter's last entry when it granted. */
byte term[HOMES];
byte grants[HOMES];
byte at_term[HOMES * SERVERS];
byte at_len[HOMES * SERVERS];
bool promoted[HOMES];

/* One write that some home waits to acknowledge. */
byte tracked_size;
byte tracked_term;
byte reported;
bool acknowledged;

byte i, j, best;

inline start()
{
	i = 0;
	do
	:: i < SERVERS ->
		granted[i] = 1;
		holder[i] = NOBODY;
		follows[i] = 1;
		i++
	:: else -> break
	od;
	leads[0] = 1;
	follows[0] = 0;
	size[0] = 1;
	LOG(0, 0) = 1;
	leader[1] = 1;
	i = 0
}

inline write(s)
{
	d_step {
		leads[s] != 0 && size[s] < MAX_LEN &&
		FENCE(granted[s] == leads[s]);
		LOG(s, size[s]) = leads[s];
		size[s]++;
		if
		:: tracked_term == 0 && leads[s] != 0 ->
			tracked_term = leads[s];
			tracked_size = size[s]
		:: else
		fi
	}
}

/* A write that no home follows up. */
inline write_untracked(s)
{
	d_step {
		leads[s] != 0 && size[s] < MAX_LEN && granted[s] == leads[s];
		LOG(s, size[s]) = leads[s];
		size[s]++
	}
}

/* The next entry from the primary; what it does not have is removed first. */
inline pull(s)
{
	d_step {
		leads[s] == 0 && follows[s] != 0 && leader[follows[s]] != 0 &&
		leads[leader[follows[s]] - 1] == follows[s] &&
		FENCE(granted[s] == follows[s]);
		j = leader[follows[s]] - 1;
		i = 0;
		do
		:: i < size[s] && i < size[j] && LOG(s, i) == LOG(j, i) -> i++
		:: else -> break
		od;
		do
		:: CUT && size[s] > i -> size[s]--; LOG(s, size[s]) = 0
		:: else -> break
		od;
		if
		:: size[s] < size[j] ->
			LOG(s, size[s]) = LOG(j, size[s]);
			size[s]++
		:: else
		fi;
		i = 0;
		j = 0
	}
}

inline follow(s, t)
{
	d_step {
		leader[t] != 0 && leader[t] - 1 != s && t >= granted[s] &&
		(follows[s] != t || leads[s] != 0) && leads[s] != t;
		if
		:: t > granted[s] -> granted[s] = t; holder[s] = NOBODY
		:: else
		fi;
		leads[s] = 0;
		follows[s] = t
	}
}

/* A status of the server reaches the home that waits for the write. */
inline report(s)
{
	d_step {
		tracked_term != 0 && !acknowledged &&
		size[s] >= tracked_size && LAST(s) == tracked_term &&
		BEFORE_GRANT(granted[s] <= tracked_term);
		reported = reported | BIT(s);
		if
		:: COUNT(reported) >= ACK_MAJORITY ->
			acknowledged = true;
			i = 0;
			do
			:: i < SERVERS ->
				assert(leads[i] <= tracked_term || HAS(i));
				i++
			:: else -> break
			od;
			i = 0
		:: else
		fi
	}
}

/* A term above any that the home used; it may know of higher ones or not. */
inline ballot(h, t)
{
	d_step {
		t > term[h];
		term[h] = t;
		grants[h] = 0;
		promoted[h] = false;
		i = 0;
		do
		:: i < SERVERS ->
			at_term[AT(h, i)] = 0;
			at_len[AT(h, i)] = 0;
			i++
		:: else -> break
		od;
		i = 0
	}
}

/* The call arrives; heard says whether the answer comes back. */
inline grant(h, s, heard)
{
	d_step {
		term[h] != 0 && (grants[h] & BIT(s)) == 0 && !promoted[h] &&
		OWN_GRANT(granted[s] < term[h] ||
			  (granted[s] == term[h] && holder[s] == h));
		if
		:: granted[s] < term[h] -> granted[s] = term[h]; holder[s] = h
		:: else
		fi;
		if
		:: heard ->
			grants[h] = grants[h] | BIT(s);
			at_term[AT(h, s)] = LAST(s);
			at_len[AT(h, s)] = size[s]
		:: else
		fi
	}
}

/*
 * Asks the highest of some of the granters to lead: a stalled primary may be
 * passed over, if the others are a majority by themselves.
 */
inline promote(h, m)
{
	d_step {
		(grants[h] & (m)) == (m) && NEW_TERM(!promoted[h]) &&
		COUNT(grants[h]) >= MAJORITY && COUNT(m) >= REST_MAJORITY;
		best = NOBODY;
		i = 0;
		do
		:: i < SERVERS ->
			if
			:: ((m) & BIT(i)) == 0
			:: else ->
				if
				:: best == NOBODY -> best = i
				:: else ->
					if
					:: HIGHEST &&
					   (at_term[AT(h, i)] >
					    at_term[AT(h, best)] ||
					    (at_term[AT(h, i)] ==
					     at_term[AT(h, best)] &&
					     at_len[AT(h, i)] >
					     at_len[AT(h, best)])) -> best = i
					:: else
					fi
				fi
			fi;
			i++
		:: else -> break
		od;
		asked[term[h]] = asked[term[h]] | BIT(best);
		asker[term[h]] = h;
		promoted[h] = true;
		best = 0;
		i = 0
	}
}

/* The call to lead arrives, late perhaps. */
inline lead(s, t)
{
	d_step {
		(asked[t] & BIT(s)) != 0 && granted[s] == t &&
		holder[s] == asker[t] && leads[s] != t && LAST(s) < t &&
		size[s] < MAX_LEN;
		assert(leader[t] == 0 || leader[t] == s + 1);
		assert(!acknowledged || tracked_term >= t || HAS(s));
		leader[t] = s + 1;
		leads[s] = t;
		follows[s] = 0;
		LOG(s, size[s]) = t;
		size[s]++
	}
}

/* Spelled out, so that no choice takes a state of its own. */
#define EACH_SERVER(step) :: step(0) :: step(1) :: step(2)
#define EACH_CALL(step, t) :: step(0, t) :: step(1, t) :: step(2, t)
#define EACH_GRANT(h) \
	:: grant(h, 0, true) :: grant(h, 1, true) :: grant(h, 2, true) \
	:: grant(h, 0, false) :: grant(h, 1, false) :: grant(h, 2, false)
#define EACH_PROMOTE(h) \
	:: promote(h, 3) :: promote(h, 5) :: promote(h, 6) :: promote(h, 7)
#define EACH_PROMOTE_ONE(h) :: promote(h, 1) :: promote(h, 2) :: promote(h, 4)

active proctype world()
{
	d_step { start() };
	do
	EACH_SERVER(write)
	EACH_SERVER(write_untracked)
	EACH_SERVER(pull)
	EACH_SERVER(report)
	EACH_CALL(follow, 2)
	EACH_CALL(lead, 2)
	:: ballot(0, 2) :: ballot(1, 2)
#if MAX_TERM >= 3
	EACH_CALL(follow, 3)
	EACH_CALL(lead, 3)
	:: ballot(0, 3) :: ballot(1, 3)
#endif
#if MAX_TERM >= 4
	EACH_CALL(follow, 4)
	EACH_CALL(lead, 4)
	:: ballot(0, 4) :: ballot(1, 4)
#endif
	EACH_GRANT(0)
	EACH_GRANT(1)
	EACH_PROMOTE(0)
	EACH_PROMOTE(1)
#if defined(NO_MAJORITY) || defined(NO_REST_MAJORITY)
	EACH_PROMOTE_ONE(0)
	EACH_PROMOTE_ONE(1)
#endif
	od
}
