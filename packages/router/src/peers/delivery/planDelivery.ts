import { GIVE_UP_AFTER_MS } from './giveUpAfter.js';
import type { OtherEntry } from './otherEntry.js';
import type { PlannedSend } from './plannedSend.js';
import { planRemoteDelivery } from './planRemoteDelivery.js';

/** Plans how a frame reaches all other entries: directly, or through one entry of each other data centre. */
export const planDelivery = ({
  addresses,
  entriesByIp,
  dataCentre,
  probesRetired,
  ...context
}: {
  /** IP addresses at which other entries may be running. */
  readonly addresses: ReadonlySet<string>;
  readonly entriesByIp: ReadonlyMap<string, OtherEntry>;
  /** The data centre of the sender. */
  readonly dataCentre: string;
  /** Whether this frame is also sent to entries that have most likely ended. */
  readonly probesRetired: boolean;
} & Parameters<typeof planRemoteDelivery>[1]): readonly PlannedSend[] => {
  const sends: PlannedSend[] = [];
  const remoteEntries = new Map<string, OtherEntry[]>();
  addresses.forEach((address) => {
    const entry = entriesByIp.get(address);
    if (entry === undefined) {
      sends.push({ address, delivery: 'direct' });
      return;
    }
    const isRetired = context.nowMs - entry.reception.heardAtMs > GIVE_UP_AFTER_MS;
    if (isRetired && !probesRetired) {
      return;
    }
    if (entry.dataCentre === dataCentre) {
      sends.push({ address, delivery: 'direct', dataCentre });
      return;
    }
    const group = remoteEntries.get(entry.dataCentre) ?? [];
    group.push(entry);
    remoteEntries.set(entry.dataCentre, group);
  });
  remoteEntries.forEach((entries) => {
    sends.push(...planRemoteDelivery(entries, context));
  });
  return sends;
};
