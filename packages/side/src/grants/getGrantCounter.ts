import type { GrantId, Incarnation } from '@parsleyhall/common';

/** The counter of a grant of this incarnation, or undefined for a grant of another. */
export const getGrantCounter = (incarnation: Incarnation, grantId: GrantId): number | undefined => {
  const prefix = `${incarnation}/`;
  if (!grantId.startsWith(prefix)) {
    return undefined;
  }
  const counter = Number(grantId.slice(prefix.length));
  return Number.isSafeInteger(counter) ? counter : undefined;
};
