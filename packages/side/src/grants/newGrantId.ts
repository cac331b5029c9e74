import type { GrantId, Incarnation } from '@parsleyhall/common';

/** The id of an incarnation's grant by its counter. */
export const newGrantId = (incarnation: Incarnation, counter: number): GrantId =>
  `${incarnation}/${counter}` as GrantId;
