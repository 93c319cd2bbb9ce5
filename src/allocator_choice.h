/*
 * allocator_choice.h - Which daemon divides slots and quotas among all.
 */
#ifndef PS_ALLOCATOR_CHOICE_H
#define PS_ALLOCATOR_CHOICE_H

#include "sharing.h"

/**
 * PsAllocatorChoice_Choose() - Chooses the member that is elected
 * (election.h).
 */
void PsAllocatorChoice_Choose(ps_sharing_t *sharing, int64_t now_ms);

/**
 * PsAllocatorChoice_Avoid() - Excludes an allocator that answers from the
 * choice for a while and chooses another one.
 */
void PsAllocatorChoice_Avoid(ps_sharing_t *sharing, int64_t now_ms);

/**
 * PsAllocatorChoice_AvoidSilent() - Excludes an allocator that does not answer
 * until it is heard from, and chooses another one.
 */
void PsAllocatorChoice_AvoidSilent(ps_sharing_t *sharing, int64_t now_ms);

/**
 * PsAllocatorChoice_Probe() - Asks the next candidates for an answer.
 */
void PsAllocatorChoice_Probe(ps_sharing_t *sharing, int64_t now_ms);

#endif
