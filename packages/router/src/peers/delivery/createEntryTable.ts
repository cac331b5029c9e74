import { computeFingerprint } from '@parsleyhall/common';
import type { Sender } from '../codec/sender.js';
import { createRelayWatch } from './createRelayWatch.js';
import type { EntryTable } from './entryTable.js';
import { getMaxRelayGapMs } from './getMaxRelayGapMs.js';
import { getSilentAfterMs } from './getSilentAfterMs.js';
import { GIVE_UP_AFTER_MS } from './giveUpAfter.js';
import { JUDGE_INTERVAL_MS } from './judgeInterval.js';
import { needsDirect } from './needsDirect.js';
import { newReception } from './newReception.js';
import type { OtherEntry } from './otherEntry.js';
import { recordFrame } from './recordFrame.js';

/** Share of the other entries of the data centre that may be silent while this one relies on the rest. */
const MAX_SILENT_SHARE = 0.5;
/** Direct sends go on for so long after they were last needed, so that they do not alternate with relaying. */
const HOLD_DIRECT_MS = 3_000;
/** A judgement that is late by so many intervals follows a pause, in which nothing was read. */
const MAX_LATE_INTERVALS = 3;

type KnownEntry = { -readonly [Field in keyof OtherEntry]: OtherEntry[Field] };

/** Creates a table without entries for an entry of this host and data centre. */
export const createEntryTable = ({
  host: ownHost,
  dataCentre,
  getNowMs,
}: {
  readonly host: string;
  readonly dataCentre: string;
  readonly getNowMs: () => number;
}): EntryTable => {
  const ownHash = computeFingerprint(ownHost);
  const entries = new Map<string, KnownEntry>();
  const byIp = new Map<string, OtherEntry>();
  const relayWatch = createRelayWatch();
  let wantsDirect: readonly number[] = [];
  let allDirectUntilMs = -Infinity;
  let judgedAtMs = -Infinity;
  let resumedAtMs = -Infinity;

  const addIncarnation = (sender: Sender, frameNumber: number): void => {
    const nowMs = getNowMs();
    const entry = {
      ...sender,
      hostHash: computeFingerprint(sender.host),
      foundAtMs: nowMs,
      reception: newReception(frameNumber, nowMs),
      directNeededUntilMs: -Infinity,
      wantsDirect: false,
      unheardHashes: [],
      isLeaving: false,
    };
    const oldIp = entries.get(sender.host)?.ip ?? '';
    if (byIp.get(oldIp)?.host === sender.host) {
      byIp.delete(oldIp);
    }
    // A host whose address now belongs to another one is unknown until its next frame arrives.
    const displaced = byIp.get(sender.ip);
    if (displaced !== undefined) {
      entries.delete(displaced.host);
    }
    byIp.set(sender.ip, entry);
    entries.set(sender.host, entry);
  };

  const countEntriesHere = (): number => {
    let count = 1;
    entries.forEach((entry) => {
      count += entry.dataCentre === dataCentre ? 1 : 0;
    });
    return count;
  };

  const getSilentAfter = (): number => getSilentAfterMs(entries.size);

  const judgeEntries = (nowMs: number): readonly number[] => {
    const context = {
      nowMs,
      resumedAtMs,
      silentAfterMs: getSilentAfter(),
      entriesHere: countEntriesHere(),
    };
    const hashes: number[] = [];
    entries.forEach((entry) => {
      if (entry.dataCentre === dataCentre) {
        return;
      }
      if (!entry.isLeaving && needsDirect(entry.reception, context)) {
        entry.directNeededUntilMs = nowMs + HOLD_DIRECT_MS;
      }
      if (entry.directNeededUntilMs > nowMs) {
        hashes.push(entry.hostHash);
      }
    });
    return hashes;
  };

  const isRelayingSilent = (nowMs: number): boolean => {
    const senderCount = entries.size + 1 - countEntriesHere();
    const maxGapMs = getMaxRelayGapMs({ entryCount: entries.size, senderCount });
    return relayWatch.getSilentMs(nowMs) > maxGapMs;
  };

  const noticePause = (nowMs: number): void => {
    if (nowMs - judgedAtMs > MAX_LATE_INTERVALS * JUDGE_INTERVAL_MS) {
      resumedAtMs = nowMs;
      relayWatch.restart(nowMs);
    }
    judgedAtMs = nowMs;
  };

  /** The hashes of the entries in this data centre whose frames do not arrive. */
  const findSilentHere = (nowMs: number): readonly number[] => {
    const silentAfterMs = getSilentAfter();
    const hashes: number[] = [];
    entries.forEach((entry) => {
      const silentMs = nowMs - Math.max(entry.reception.heardAtMs, resumedAtMs);
      const isSilent = silentMs > silentAfterMs && silentMs < GIVE_UP_AFTER_MS;
      if (entry.dataCentre === dataCentre && !entry.isLeaving && isSilent) {
        hashes.push(entry.hostHash);
      }
    });
    return hashes;
  };

  return {
    byIp,
    isNew: ({ sender: { host, incarnation }, frameNumber }) => {
      const known = entries.get(host);
      return (
        known === undefined ||
        incarnation > known.incarnation ||
        (incarnation === known.incarnation && frameNumber > known.reception.newestFrame)
      );
    },
    recordFrame: ({ sender, frameNumber }, delivery) => {
      if (sender.dataCentre !== dataCentre) {
        relayWatch.record(delivery, getNowMs());
      }
      const known = entries.get(sender.host);
      if (known === undefined || sender.incarnation > known.incarnation) {
        addIncarnation(sender, frameNumber);
        return;
      }
      if (sender.incarnation === known.incarnation) {
        recordFrame(known.reception, { frameNumber, delivery }, getNowMs());
      }
    },
    recordContent: (host, content) => {
      const known = entries.get(host);
      if (known === undefined) {
        return false;
      }
      const wantedDirect = known.wantsDirect;
      known.isLeaving = content.digest.isLeaving;
      known.unheardHashes = content.wantsAllDirect ? [] : content.wantsDirect;
      known.wantsDirect = content.wantsAllDirect || content.wantsDirect.includes(ownHash);
      return known.dataCentre !== dataCentre && known.wantsDirect && !wantedDirect;
    },
    judge: () => {
      const nowMs = getNowMs();
      noticePause(nowMs);
      const silentHere = findSilentHere(nowMs);
      // If most of them are silent, the fault is more likely on this side.
      const isCutOff = silentHere.length > MAX_SILENT_SHARE * (countEntriesHere() - 1);
      wantsDirect = [...judgeEntries(nowMs), ...(isCutOff ? [] : silentHere)];
      const wantedAllDirect = allDirectUntilMs > nowMs;
      if (isCutOff || isRelayingSilent(nowMs)) {
        allDirectUntilMs = nowMs + HOLD_DIRECT_MS;
      }
      return allDirectUntilMs > nowMs && !wantedAllDirect;
    },
    getReceptionReport: () => ({ wantsDirect, wantsAllDirect: allDirectUntilMs > getNowMs() }),
    getSilentAfterMs: getSilentAfter,
  };
};
