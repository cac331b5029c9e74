import type { EntryDecisions } from '@parsleyhall/entry';
import type { SideDecisions } from '@parsleyhall/side';
import { getPlainDecisions } from './getPlainDecisions.js';
import type { PolicyName } from './policyName.js';
import { SWITCHED_OFF_DECISIONS } from './switchedOffDecisions.js';

interface Decisions {
  readonly entry: Partial<EntryDecisions>;
  readonly side: Partial<SideDecisions>;
}

/** The decisions of a policy, less those named in a list with commas, which only late binding can do without. */
export const getDecisions = (policy: PolicyName, without: string): Decisions => {
  const plain = getPlainDecisions(policy);
  const names = policy === 'late-binding' ? without.split(',') : [];
  return names.reduce<Decisions>(
    ({ entry, side }, name) => ({
      entry: { ...entry, ...SWITCHED_OFF_DECISIONS[name]?.entry },
      side: { ...side, ...SWITCHED_OFF_DECISIONS[name]?.side },
    }),
    plain,
  );
};
