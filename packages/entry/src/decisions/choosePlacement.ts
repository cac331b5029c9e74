import { MS_PER_SECOND, rankByRendezvous } from '@parsleyhall/common';
import type { SideLink } from '../sides/sideLink.js';
import type { Placement } from './placement.js';
import type { PlacementView } from './placementView.js';

const AFFINITY_WAIT_LIMIT_MS = 50;

const isLongPrefill = (view: PlacementView): boolean =>
  view.request.prefillTokens >= view.longPrefillTokens;

/** The side processes that take long prefills: a prefix of one fixed order, as long as demand asks for. */
const getLongPrefillSides = (view: PlacementView): ReadonlySet<string> => {
  const ids = view.candidates.map(({ side }) => side);
  const wanted = Math.max(1, Math.ceil(view.longPrefillShare * ids.length));
  const ranked = rankByRendezvous(`long-prefills/${view.request.pool}`, ids);
  return new Set(ranked.slice(0, wanted));
};

const getWaitMs = (view: PlacementView, link: SideLink): number => {
  const { digest } = link;
  if (digest === undefined) {
    return 0;
  }
  const waitMs = digest.predictedWaitMsByTier[view.request.tier - 1] ?? 0;
  const prefillAheadMs =
    digest.prefillTokensPerSecond > 0
      ? (digest.prefillTokensAhead / digest.prefillTokensPerSecond) * MS_PER_SECOND
      : 0;
  return waitMs + prefillAheadMs;
};

const getPreferred = (view: PlacementView, eligible: readonly SideLink[]): SideLink | undefined => {
  const prefix = view.request.prefixFingerprints[0];
  if (prefix === undefined) {
    return undefined;
  }
  const [best] = rankByRendezvous(
    String(prefix),
    eligible.map(({ side }) => side),
  );
  return eligible.find(({ side }) => side === best);
};

/**
 * Reserves first where the prompt's prefix is likely cached, if the wait there is short, and else at the side processes of
 * the shortest predicted wait. Long prefills go only to their part of the pool.
 */
export const choosePlacement = (view: PlacementView): Placement => {
  const longPrefillSides = isLongPrefill(view) ? getLongPrefillSides(view) : undefined;
  const eligible =
    longPrefillSides === undefined
      ? view.candidates
      : view.candidates.filter(({ side }) => longPrefillSides.has(side));
  const byWait = eligible
    .map((link) => ({ link, waitMs: getWaitMs(view, link) }))
    .sort((left, right) => left.waitMs - right.waitMs)
    .slice(0, view.maximumReservations)
    .map(({ link }) => link.side);
  const preferred = getPreferred(view, eligible);
  if (preferred === undefined || getWaitMs(view, preferred) > AFFINITY_WAIT_LIMIT_MS) {
    return { first: byWait, later: [] };
  }
  return { first: [preferred.side], later: byWait.filter((side) => side !== preferred.side) };
};
