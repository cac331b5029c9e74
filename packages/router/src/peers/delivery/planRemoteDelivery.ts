import type { OtherEntry } from './otherEntry.js';
import type { PlannedSend } from './plannedSend.js';

/** With fewer, each gets its own copy: relaying would save one at most, and half of the digests depend on one entry. */
const MIN_RELAYING_ENTRIES = 3;
/**
 * An entry that has just started may not know this one, so it would not notice missing digests; nor does it know all
 * entries that it would have to relay to.
 */
const NEW_ENTRY_MS = 2_000;

/** Plans how a frame reaches the entries of one other data centre. */
export const planRemoteDelivery = (
  entries: readonly OtherEntry[],
  {
    turn,
    nowMs,
    silentAfterMs,
    sendsToAll,
  }: {
    /** Increases by one with each frame. */
    readonly turn: number;
    readonly nowMs: number;
    /** How long an entry may be silent. */
    readonly silentAfterMs: number;
    /** Whether each entry gets a copy directly, whatever is relayed. */
    readonly sendsToAll: boolean;
  },
): readonly PlannedSend[] => {
  const isSilent = ({ reception }: OtherEntry): boolean =>
    nowMs - reception.heardAtMs > silentAfterMs;
  const live = entries.filter((entry) => !isSilent(entry) && !entry.isLeaving);
  const unheard = new Set(live.flatMap(({ unheardHashes }) => unheardHashes));
  const isNew = ({ foundAtMs }: OtherEntry): boolean => nowMs - foundAtMs < NEW_ENTRY_MS;
  const relaying = live.filter(
    (entry) => !entry.wantsDirect && !unheard.has(entry.hostHash) && !isNew(entry),
  );
  if (relaying.length < MIN_RELAYING_ENTRIES) {
    return entries.map(({ ip, dataCentre }) => ({ address: ip, delivery: 'direct', dataCentre }));
  }
  const relay = relaying[turn % relaying.length];
  const needsExtra = (entry: OtherEntry): boolean =>
    sendsToAll || isSilent(entry) || entry.isLeaving || entry.wantsDirect || isNew(entry);
  return entries
    .filter((entry) => entry === relay || needsExtra(entry))
    .map((entry) => ({
      address: entry.ip,
      delivery: entry === relay ? 'relay' : 'extra',
      dataCentre: entry.dataCentre,
    }));
};
