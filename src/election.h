/*
 * election.h - Which member each daemon takes for the allocator.
 *
 * It is the candidate of highest score that answers. An allocator that falls
 * silent is avoided until it is heard from again, and meanwhile the candidates
 * after it are asked for an answer, twice as many each time, so that those
 * that are lost with it cost no further wait. However many and whichever are
 * lost, a daemon reports to one that lives after three waits at the latest, in
 * a fleet of 200; no message goes to members that are avoided. Members that
 * see the same candidates alive choose the same one. Does no I/O.
 */
#ifndef PS_ELECTION_H
#define PS_ELECTION_H

#include <glib.h>

#include "str.h"

// Time without a grant after which another candidate is chosen.
#define PS_ELECTION_WAIT_MS 900

// Time without a grant after which candidates are asked, and again after each
// further one. Those asked before the last such time must have answered when
// the wait is over.
#define PS_ELECTION_PROBE_MS 300

/**
 * struct ps_candidate - A member, as this daemon sees it.
 * @incarnation: of its start; another one is another candidate
 * @score: the highest is chosen
 * @heard_ms: of its last frame; 0: none
 * @is_self: this daemon, which always answers
 */
typedef struct ps_candidate {
    const ps_name_t *name;
    uint64_t incarnation;
    double score;
    int64_t heard_ms;
    bool is_self;
} ps_candidate_t;

/**
 * struct ps_election - What one daemon knows of candidates.
 */
typedef struct ps_election {
    GHashTable *avoided; /* name to avoidance_t */
    GHashTable *probed;  /* name to the time (int64_t) when it was last asked,
                            since the last grant */
    size_t n_probes;     /* candidates to be asked next */
} ps_election_t;

void PsElection_Init(ps_election_t *election);
void PsElection_Finish(ps_election_t *election);

/**
 * PsElection_Choose() - Returns the candidate to report to; NULL if there is
 * none.
 */
const ps_candidate_t *PsElection_Choose(const ps_election_t *election,
                                        const ps_candidate_t *candidates,
                                        size_t n, int64_t now_ms);

/**
 * PsElection_ListProbes() - Lists candidates that are to be asked for an
 * answer, since the allocator has sent no grant for a while.
 * @names: receives at most @n of them
 */
size_t PsElection_ListProbes(ps_election_t *election,
                             const ps_candidate_t *candidates, size_t n,
                             const ps_name_t *allocator,
                             const ps_name_t **names, int64_t now_ms);

/**
 * PsElection_AvoidSilent() - Avoids the allocator, after the wait, and the
 * candidates that were asked and have not answered, until they are heard from
 * and some seconds have passed.
 */
void PsElection_AvoidSilent(ps_election_t *election,
                            const ps_candidate_t *candidates, size_t n,
                            const ps_name_t *allocator, int64_t now_ms);

/**
 * PsElection_Avoid() - Avoids the allocator, which answers, for some seconds.
 */
void PsElection_Avoid(ps_election_t *election,
                      const ps_candidate_t *candidates, size_t n,
                      const ps_name_t *allocator, int64_t now_ms);

/**
 * PsElection_HandleGrant() - Notes that the allocator has answered.
 */
void PsElection_HandleGrant(ps_election_t *election);

#endif
