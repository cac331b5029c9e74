import { MS_PER_SECOND } from '@parsleyhall/common';
import type { Preset } from '@parsleyhall/configuration';
import type { ArrivedRequest } from '../arrivedRequest.js';
import { newTeamUsage } from './newTeamUsage.js';
import type { TeamLimitVerdict } from './teamLimitVerdict.js';
import type { TeamUsage } from './teamUsage.js';

const BURST_SECONDS = 2;
const WAITING_RETRY_AFTER_MS = 1_000;

type TeamLimit = Preset['teamLimits'][number];

const refill = (credit: number, perSecond: number, elapsedMs: number): number =>
  Math.min(perSecond * BURST_SECONDS, credit + (perSecond * elapsedMs) / MS_PER_SECOND);

const getDelayMs = (credit: number, cost: number, perSecond: number): number =>
  credit >= Math.min(cost, perSecond * BURST_SECONDS)
    ? 0
    : ((Math.min(cost, perSecond * BURST_SECONDS) - credit) / perSecond) * MS_PER_SECOND;

const isOverWaiting = (
  limit: TeamLimit,
  usage: TeamUsage,
  bodyBytes: number,
  entries: number,
): boolean =>
  usage.waitingRequests + 1 > (limit.waitingRequests ?? Number.POSITIVE_INFINITY) / entries ||
  usage.waitingBytes + bodyBytes > (limit.waitingBytes ?? Number.POSITIVE_INFINITY) / entries;

/**
 * Charges a request to its team's limits in the preset in force. Limits hold for the whole system and are shared evenly
 * among the live entries; a request larger than the burst is let in on a full credit and leaves a debt.
 */
export const applyTeamLimits = ({
  preset,
  usage = newTeamUsage(),
  request,
  entries,
  nowMs,
}: {
  readonly preset: Preset;
  readonly usage: TeamUsage | undefined;
  readonly request: ArrivedRequest;
  readonly entries: number;
  readonly nowMs: number;
}): TeamLimitVerdict => {
  const limit = preset.teamLimits.find(({ team }) => team === request.team);
  if (limit === undefined) {
    return { type: 'within', usage };
  }
  if (isOverWaiting(limit, usage, request.call.body.length, entries)) {
    return { type: 'over', retryAfterMs: WAITING_RETRY_AFTER_MS };
  }
  const elapsedMs = nowMs - usage.updatedAtMs;
  const requestRate = (limit.requestsPerSecond ?? Number.POSITIVE_INFINITY) / entries;
  const tokenRate = (limit.tokensPerSecond ?? Number.POSITIVE_INFINITY) / entries;
  const tokens = request.prefillTokens + request.decodeTokens;
  const requestCredit = refill(usage.requestCredit, requestRate, elapsedMs);
  const tokenCredit = refill(usage.tokenCredit, tokenRate, elapsedMs);
  const delayMs = Math.max(
    Number.isFinite(requestRate) ? getDelayMs(requestCredit, 1, requestRate) : 0,
    Number.isFinite(tokenRate) ? getDelayMs(tokenCredit, tokens, tokenRate) : 0,
  );
  if (delayMs > 0) {
    return { type: 'over', retryAfterMs: Math.ceil(delayMs) };
  }
  return {
    type: 'within',
    usage: {
      ...usage,
      requestCredit: requestCredit - 1,
      tokenCredit: tokenCredit - tokens,
      updatedAtMs: nowMs,
    },
  };
};
