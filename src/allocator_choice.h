/*
 * allocator_choice.h - Which daemon divides slots and quotas among all.
 */
#ifndef PS_ALLOCATOR_CHOICE_H
#define PS_ALLOCATOR_CHOICE_H

#include "sharing.h"

/**
 * PsAllocatorChoice_Choose() - Chooses the member of highest weight that is
 * not avoided.
 */
void PsAllocatorChoice_Choose(ps_sharing_t *sharing, int64_t now_ms);

/**
 * PsAllocatorChoice_Avoid() - Excludes the allocator from the choice for a
 * while and chooses another one.
 */
void PsAllocatorChoice_Avoid(ps_sharing_t *sharing, int64_t now_ms);

#endif
